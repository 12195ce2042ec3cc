#!/usr/bin/env bash
# Plays the fault soak for ten seconds with each seed: soak-seeds.sh BUILD WIRE_FAULTS SEED..., where WIRE_FAULTS (yes or no) is the setting
# soak.wire_faults. Fails if a rule is broken, and then prints that report.
set -uo pipefail
cd "$(dirname "$0")/.."
BUILD=$1
wireFaults=$2
shift 2
failed=0
for seed in "$@"; do
    report="$BUILD/soak-$seed.txt"
    if "$BUILD/bin/chestnutgw-soak" --set "soak.seed=$seed" --set soak.seconds=10 --set "soak.wire_faults=$wireFaults" --set "soak.folder=$BUILD/soak-$seed" > "$report" 2>&1; then
        tail -1 "$report"
    else
        cat "$report"
        failed=1
    fi
done
exit $failed
