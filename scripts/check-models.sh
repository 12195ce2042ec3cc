#!/usr/bin/env bash
# Checks every model in spec/ exhaustively with spin. Without faults a model must verify without errors; with each of its
# seeded faults spin must find a counterexample. The faults are the macros on the model's line "FAULTS: NAME NAME ...".
set -uo pipefail
cd "$(dirname "$0")/../spec"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# check MODEL FAULT: prints the number of errors, or "incomplete" if a limit was hit. FAULT may be empty.
check() {
    local dir="$work/$1-${2:-none}"
    mkdir -p "$dir"
    cp "$1" "$dir/model.pml"
    (cd "$dir" && spin -a ${2:+-D$2} model.pml > spin.log 2>&1 && gcc -O2 -DSAFETY -DMEMLIM=3000 -w -o pan pan.c 2> gcc.log && timeout 400 ./pan -m200000 > pan.log 2>&1)
    if grep -q 'max search depth too small\|out of memory\|VECTORSZ' "$dir/pan.log" 2>/dev/null; then
        echo incomplete
        return
    fi
    sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$dir/pan.log" 2>/dev/null | tail -1
}

for model in *.pml; do
    [ -e "$model" ] || continue
    for fault in "" $(sed -n 's/.*FAULTS: //p' "$model"); do
        errors=$(check "$model" "$fault")
        states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/$model-${fault:-none}/pan.log" 2>/dev/null | tail -1)
        if { [ -z "$fault" ] && [ "$errors" = 0 ]; } || { [ -n "$fault" ] && [ -n "$errors" ] && [ "$errors" != 0 ] && [ "$errors" != incomplete ]; }; then
            echo "ok      $model ${fault:-without fault}: ${errors} errors, ${states:-?} states"
        else
            echo "FAILED  $model ${fault:-without fault}: errors '${errors}'"
            failed=1
        fi
    done
done
exit $failed
