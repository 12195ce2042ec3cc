#!/usr/bin/env bash
# Runs all tests except those listed in KNOWN-RED.txt, whose names it prints. Usage: run-tests.sh BUILD_FOLDER
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
tests="$build/bin/chestnutgw-tests"
red=()
while IFS= read -r line; do
    red+=("$line")
done < <(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null)
passed=0
failed=0

# exact NAME: Catch's pattern for exactly this test; a bare comma would separate two patterns.
exact() {
    printf '"%s"' "${1//,/\\,}"
}

# run_group TAG: runs the tests of one tag in a separate process.
run_group() {
    local filter="[$1]"
    for name in "${red[@]}"; do
        filter="${filter}~$(exact "$name")"
    done
    "$tests" "$filter" --rng-seed 1 -r xml -o "$build/tests-$1.xml" > "$build/tests-$1.out" 2>&1
    echo $? > "$build/tests-$1.status"
}

count() {
    sed -n "s/.*<OverallResultsCases.*$2=\"\([0-9]*\)\".*/\1/p" "$build/tests-$1.xml" 2>/dev/null | tail -1
}

for name in "${red[@]}"; do
    # The exit status of the list is the number of tests in it.
    if [ -z "$("$tests" "$(exact "$name")" --list-test-names-only)" ]; then
        echo "KNOWN-RED.txt lists a test that does not exist: $name"
        failed=$((failed + 1))
    fi
done
groups="unit failure crowd"
rm -f "$build"/tests-*.status "$build"/tests-*.xml
run_group unit
run_group failure
run_group crowd
for group in $groups; do
    good=$(count "$group" successes)
    bad=$(count "$group" failures)
    expected=$(count "$group" expectedFailures)
    if [ -z "$good" ] || { [ "$(cat "$build/tests-$group.status")" != 0 ] && [ "${bad:-0}" = 0 ]; }; then
        echo "group $group ended without a valid result (status $(cat "$build/tests-$group.status"))"
        tail -20 "$build/tests-$group.out"
        failed=$((failed + 1))
        continue
    fi
    passed=$((passed + good))
    failed=$((failed + bad + ${expected:-0}))
    echo "group $group: $good passed, $bad failed"
    if [ "${bad:-0}" != 0 ]; then
        # Prints the test cases that failed.
        awk '/<TestCase /{block=""} {block=block $0 "\n"} /<OverallResult success="false"/{printf "%s", block}' "$build/tests-$group.xml" | tail -150
        cat "$build/tests-$group.out" | tail -20
    fi
done
for name in "${red[@]}"; do
    echo "known failure, skipped: $name"
done
echo "$passed passed, $failed failed"
[ "$failed" = 0 ] && [ "$passed" -gt 0 ]
