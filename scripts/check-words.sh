#!/usr/bin/env bash
# The platform's names stand in platform/ and deploy/ only: no source of the product may use one.
set -uo pipefail
cd "$(dirname "$0")/.."
WORDS='X-Chestnutgw|keyed\.|/log-(append|read|newest)|At-Server|\b(BatchSlots|RouteType|PathPrefix|TrafficSplit|MaxAttempts|LatencyGoalMs|StreamResume|ApiKeys|Hostname|ColdLeftMs|HeartbeatMs|LayerMb|PipeMbps|ReadX|KvUsed|NodeName)\b'
if found=$(git grep -nE "$WORDS" -- src proto conf); then
    echo "names of the platform outside platform/ and deploy/:"
    echo "$found"
    exit 1
fi
echo "no name of the platform outside platform/ and deploy/"
