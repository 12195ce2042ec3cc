#!/usr/bin/env bash
# Compares worth-weighted goodput with its upper bound on the sk-west deployment: 40 engines of three kinds, 6 entry instances.
# Usage: measure-goodput.sh BUILD_FOLDER VARIANT RATE...   VARIANT: settings of the entry instances, e.g. routing.policy=random
# Environment: FAULTS (load.faults, with {NAME} replaced by the address of that engine), SECONDS_TO_RUN, SEED, REPORT
# (prefix of the summary files), SETTLE (seconds to wait before the first run).
set -uo pipefail
cd "$(dirname "$0")/.."
BIN=${1:-build}/bin
variant=${2:-routing.admission=yes}
shift 2
ENTRY_SETTINGS=$(for one in ${variant//,/ }; do printf -- '-s %s ' "$one"; done)
. scripts/deployment.sh
trap 'deployment_stop; rm -rf "$WORK"' EXIT
deployment_start conf/example-sk-west.csv 6 controllers || exit 1
deployment_publish > /dev/null
sleep "${SETTLE:-14}"
accounts="zelezo:zelezo-key:4:3:survey-70b:32:16;chemko:chemko-key:4:3:survey-70b:32:16;drevo:drevo-key:2:2:survey-70b:24:16;sklo:sklo-key:1:1:survey-70b:24:16;energo:energo-key:1:5:survey-70b:48:32;mlyn:mlyn-key:4:1:classify-8b:8:32;pekar:pekar-key:2:1:classify-8b:8:32"
faults=${FAULTS:-}
for name in "${!ENGINE[@]}"; do faults=${faults//\{$name\}/${ENGINE[$name]}}; done
for rate in "$@"; do
    "$BIN/chestnutgw-load" -s load.entries="$(IFS=,; echo "${ENTRY[*]}")" -s "load.accounts=$accounts" -s load.rate="$rate" -s load.duration=$((${SECONDS_TO_RUN:-12} * 1000)) -s load.warmup=3000 -s load.deadline=6000 -s load.seed="${SEED:-1}" -s "load.faults=$faults" -s load.label="$variant, $rate requests/s" ${REPORT:+-s load.json="$REPORT-$rate.json"}
done
