#!/usr/bin/env bash
# Checks that each judge of the soak catches the fault that is seeded for it: prove-soak.sh [BUILD] [SEED].
set -uo pipefail
cd "$(dirname "$0")/.."
BUILD=${1:-build}
SEED=${2:-1}
failed=0
for proof in twice:TWICE drop_event:ORDER foreign:MIXED ran:REFUSED keep_on:GONE arrives_late:GONE break_off:LOST lost_key:CONFIG late_drain:DRAIN gap:LAYERS no_quarantine:BUDGET:7:12 unsaid:QUIET \
    twice:TWICE:5:10:yes drop_event:ORDER:5:10:yes foreign:MIXED:5:10:yes ran:REFUSED:5:10:yes break_off:LOST:5:10:yes; do
    IFS=: read -r fault rule seed seconds wireFaults <<< "$proof" # a seed and a length of its own where the fault needs them; wire faults
    out=$("$BUILD/bin/chestnutgw-soak" --set "soak.seed=${seed:-$SEED}" --set "soak.seconds=${seconds:-10}" --set "soak.wire_faults=${wireFaults:-no}" --set "soak.folder=$BUILD/soak-$fault" --set "soak.fault=$fault" | tail -1)
    if grep -q " $rule " <<< "$out"; then
        echo "$fault: caught ($out)"
    else
        echo "$fault: NOT caught as $rule ($out)"
        failed=1
    fi
done
exit $failed
