#!/usr/bin/env bash
# Fails if the product's sources use a name of the users' platform: these are allowed in platform/ and deploy/ only.
set -uo pipefail
cd "$(dirname "$0")/.."
WORDS='X-Chestnutgw|keyed\.|/log-(append|read|newest)|At-Server|\b(BatchSlots|RouteType|PathPrefix|TrafficSplit|MaxAttempts|LatencyGoalMs|StreamResume|ApiKeys|Hostname|ColdLeftMs|HeartbeatMs|LayerMb|PipeMbps|ReadX|KvUsed|NodeName)\b'
if found=$(git grep -nE "$WORDS" -- src proto conf); then
    echo "platform names used outside platform/ and deploy/:"
    echo "$found"
    exit 1
fi
echo "no platform names outside platform/ and deploy/"
