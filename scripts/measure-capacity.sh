#!/usr/bin/env bash
# Measures on loopback how cost grows with size, for docs/CAPACITY.md: peer traffic, memory and CPU time by number of
# instances, configuration publications, claims in each append, and a single controller by number of servers.
# Usage: measure-capacity.sh [BUILD_FOLDER]
set -uo pipefail
cd "$(dirname "$0")/.."
BIN=${1:-build}/bin
SPAN=${SPAN:-8}

ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss() { awk '/VmRSS/{print $2}' "/proc/$1/status"; }
metric() { curl -s "http://$1/metrics" | awk -v n="$2" '$1 ~ "^"n"([{]|$)" {sum += $2} END {printf "%.0f\n", sum}'; }

# plan SERVERS: prints a sheet with that many servers and the accounts of the example.
plan() {
    head -1 conf/example-sk-west.csv
    grep -E '^(account|model|version|grant|service|replica),' conf/example-sk-west.csv
    local i
    for i in $(seq 0 $(($1 - 1))); do
        printf 'server,gpu-%04d,,sk-west-%s,127.0.0.1:1,hbm80,,4,,,,,,yes,active\n' "$i" "$(printf "\\$(printf %o $((97 + i % 3)))")"
    done
}

peers() {
    local instances=$1
    . scripts/deployment.sh
    WORK=$(mktemp -d /tmp/chestnutgw-XXXXXX)
    plan 4 > "$WORK/plan.csv"
    deployment_start "$WORK/plan.csv" "$instances" fixed || return
    sleep 6
    local bytes cpu
    bytes=$(metric "${ENTRY[0]}" chestnutgw_peer_bytes_total)
    cpu=$(ticks "${PID[entry-0]}")
    sleep "$SPAN"
    bytes=$(($(metric "${ENTRY[0]}" chestnutgw_peer_bytes_total) - bytes))
    cpu=$(($(ticks "${PID[entry-0]}") - cpu))
    echo "peers instances=$instances bytes_per_second=$((bytes / SPAN)) cpu_ms_per_second=$((cpu * 10 / SPAN)) rss_kb=$(rss "${PID[entry-0]}")"
    deployment_stop
    rm -rf "$WORK"
}

publications() {
    . scripts/deployment.sh
    WORK=$(mktemp -d /tmp/chestnutgw-XXXXXX)
    plan 40 > "$WORK/plan.csv"
    deployment_start "$WORK/plan.csv" 6 fixed || return
    deployment_publish > /dev/null
    "$BIN/chestnutgw-load" publications "$(IFS=,; echo "${ENTRY[*]}")" "$SHEET" 200
    deployment_stop
    rm -rf "$WORK"
}

claims() {
    . scripts/deployment.sh
    WORK=$(mktemp -d /tmp/chestnutgw-XXXXXX)
    plan 1 > "$WORK/plan.csv"
    deployment_start "$WORK/plan.csv" 6 fixed || return
    deployment_publish > /dev/null
    local rate
    for rate in 50 200 800; do
        local before after records
        before=$(curl -s "http://$LOG/stats" | sed 's/.*"appends":\([0-9]*\).*/\1/')
        records=$(curl -s "http://$LOG/stats" | sed 's/.*"claims":{"kept":[0-9]*,"next":\([0-9]*\).*/\1/')
        "$BIN/chestnutgw-load" submissions "$(IFS=,; echo "${ENTRY[*]}")" zelezo-key "$rate" 5
        after=$(curl -s "http://$LOG/stats" | sed 's/.*"appends":\([0-9]*\).*/\1/')
        echo "claims rate=$rate appends_per_second=$(((after - before) / 5)) records=$(($(curl -s "http://$LOG/stats" | sed 's/.*"claims":{"kept":[0-9]*,"next":\([0-9]*\).*/\1/') - records)) rss_kb=$(rss "${PID[entry-0]}")"
    done
    deployment_stop
    rm -rf "$WORK"
}

controller() {
    local servers=$1
    . scripts/deployment.sh
    WORK=$(mktemp -d /tmp/chestnutgw-XXXXXX)
    plan "$servers" > "$WORK/plan.csv"
    deployment_start "$WORK/plan.csv" 1 controllers || return
    deployment_publish > /dev/null
    sleep 12
    local cpu
    cpu=$(ticks "${PID[controller-0]}")
    sleep "$SPAN"
    cpu=$(($(ticks "${PID[controller-0]}") - cpu))
    echo "controller servers=$servers cpu_ms_per_second=$((cpu * 10 / SPAN)) rss_kb=$(rss "${PID[controller-0]}") entry_rss_kb=$(rss "${PID[entry-0]}")"
    deployment_stop
    rm -rf "$WORK"
}

echo "$(nproc) cores, build $(git rev-parse --short HEAD)"
for n in ${PEERS:-6 12 24}; do (peers "$n"); done
(publications)
(claims)
for n in ${SERVERS:-10 40 80}; do (controller "$n"); done
"$BIN/chestnutgw-load" scale
