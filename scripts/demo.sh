#!/usr/bin/env bash
# Runs the sk-west deployment at its current size on loopback and demonstrates the main features. Stops all its processes.
set -uo pipefail
cd "$(dirname "$0")/.."
BIN=${1:-build}/bin
. scripts/deployment.sh
trap 'deployment_stop; rm -rf "$WORK"' EXIT
failures=0

say() {
    printf '\n%s\n' "$*"
}

# check WHAT CONDITION...
check() {
    local what=$1
    shift
    if "$@"; then
        echo "  ok: $what"
    else
        echo "  FAILED: $what"
        failures=$((failures + 1))
    fi
}

ctl() {
    "$BIN/chestnutctl" --entry "${ENTRY[0]}" "$@"
}

chat() {
    curl -s -N --max-time 60 "http://$1/v1/chat/completions" -H 'Authorization: Bearer zelezo-key' -H 'Content-Type: application/json' -d "{\"model\":\"survey-70b\",\"messages\":[{\"role\":\"user\",\"content\":\"$2\"}],\"max_tokens\":$3,\"stream\":$4}"
}

streamed_text() {
    sed -n 's/^data: .*"content":"\([^"]*\)".*/\1/p' "$1" | tr -d '\n'
}

say "1. Starting 40 engines without layers, 3 application servers, log, instance list, weight store, 6 entry instances and 6 controllers in 3 failure domains."
deployment_start conf/example-sk-west.csv 6 controllers || exit 1
say "2. Publishing the planner's sheet through one instance:"
deployment_publish planner
check "the sheet is active on every instance" [ $? = 0 ]

say "3. The controller with the lease assigns the layers of both models to the engines."
ready() { chat "${ENTRY[0]}" ping 1 false | grep -q '"finish_reason":"length"'; }
wait_until ready
check "a complete pipeline serves survey-70b" ready
ctl --controller "${CONTROLLER[0]}" explain placement survey-70b | head -6

say "4. Streaming a survey commentary through entry-1:"
chat "${ENTRY[1]}" "Summarise the producer prices of steel in November." 24 true > "$WORK/stream"
text=$(streamed_text "$WORK/stream")
echo "  $text"
expected=$("$BIN/chestnutgw-load" oracle survey-70b v1 48 24 "Summarise the producer prices of steel in November.")
check "the text equals the reference output (oracle)" [ "$text" = "$expected" ]
check "the stream ended with [DONE]" grep -q '\[DONE\]' "$WORK/stream"

say "5. Sending a price submission through entry-2 and repeating it through entry-3:"
submit() {
    curl -s -D "$WORK/head" "http://$1/services/prices/submissions" -H 'Authorization: Bearer zelezo-key' -H 'Idempotency-Key: nov-steel-17' -d 'product=steel&price=612.40'
    grep -i '^chestnutgw-' "$WORK/head" | tr -d '\r' | sed 's/^/  /'
}
first=$(submit "${ENTRY[2]}")
repeat=$(submit "${ENTRY[3]}")
echo "$first"
echo "$repeat"
runs=0
for name in "${!SERVICE[@]}"; do
    count=$(curl -s "http://${SERVICE[$name]}/stats" | sed -n 's/.*"nov-steel-17":\([0-9]*\).*/\1/p')
    runs=$((runs + ${count:-0}))
done
check "the submission ran exactly once" [ "$runs" = 1 ]
check "the repeat got the recorded answer of the first call" [ "$(echo "$first" | grep recorded)" = "$(echo "$repeat" | grep recorded)" ]

say "6. Draining a backend server while it serves a stream:"
chat "${ENTRY[4]}" "Write a long commentary on prices." 120 true > "$WORK/long" &
streaming=$!
sleep 0.4
busy=$("$BIN/chestnutctl" --entry "${ENTRY[4]}" --json status | tr '{' '\n' | grep '"own_streams":[1-9]' | sed -n 's/.*"server":"\([^"]*\)".*/\1/p' | head -1)
echo "  draining ${busy:=gpu-00}"
ctl drain "$busy" --wait
wait "$streaming"
text=$(streamed_text "$WORK/long")
expected=$("$BIN/chestnutgw-load" oracle survey-70b v1 48 120 "Write a long commentary on prices.")
check "the stream was not cut and its text equals the reference output" [ "$text" = "$expected" ]
ctl status | grep -E "BACKEND|^$busy "

say "7. Routing decisions for the streamed request:"
id=$(sed -n 's/.*"id":"\([^"]*\)".*/\1/p' "$WORK/long" | head -1)
"$BIN/chestnutctl" --entry "${ENTRY[4]}" explain request "$id"

if [ "$failures" = 0 ]; then
    say "All checks of the demo passed."
else
    say "$failures check(s) FAILED."
    tail -3 "$WORK"/entry-*.err
fi
exit "$failures"
