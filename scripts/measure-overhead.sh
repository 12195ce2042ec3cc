#!/usr/bin/env bash
# Measures one entry instance: latency added compared with direct calls of the same chain, tokens/s and requests/s at
# increasing rates, CPU time and memory. Usage: measure-overhead.sh [BUILD_FOLDER]
set -uo pipefail
cd "$(dirname "$0")/.."
BIN=${1:-build}/bin
. scripts/deployment.sh
trap 'deployment_stop; rm -rf "$WORK"' EXIT
sheet=$WORK/plan.csv
{
    head -1 conf/example-sk-west.csv
    grep -E '^(account,zelezo|model,classify|version,v1,classify|grant,zelezo,classify)' conf/example-sk-west.csv
    for i in 0 1; do echo "server,gpu-0$i,,sk-west-a,127.0.0.1:1,hbm80,,4,,,,,,yes,active"; done
} > "$sheet"
HBM_LAYER_MS=0.02 deployment_start "$sheet" 1 fixed || exit 1
for i in 0 1; do
    curl -s -o /dev/null "http://${ENGINE[gpu-0$i]}/v1/orders" -d "{\"fence\":1,\"holds\":[{\"model\":\"classify-8b\",\"version\":\"v1\",\"first\":$((i * 8)),\"last\":$((i * 8 + 8))}]}"
done
deployment_publish > /dev/null
sleep 2
chain="gpu-00@${ENGINE[gpu-00]}:0-8,gpu-01@${ENGINE[gpu-01]}:8-16"
load() {
    "$BIN/chestnutgw-load" -s load.entries="${ENTRY[0]}" -s "load.accounts=zelezo:zelezo-key:1:1:classify-8b:16:8" -s load.duration=8000 -s load.warmup=2000 "$@"
}
cpu_ticks() {
    cut -d' ' -f14,15 "/proc/${PID[entry-0]}/stat" | tr ' ' '+' | bc
}
echo "$(nproc) cores, build $(git rev-parse --short HEAD)"
for rate in 20 100; do
    load -s load.rate=$rate -s "load.direct=$chain" -s load.label="direct, $rate requests/s" | grep -E "offered|first_token|token_interval"
    load -s load.rate=$rate -s load.label="through one entry, $rate requests/s" | grep -E "offered|first_token|token_interval"
done
for rate in ${RATES:-100 200 300}; do
    before=$(cpu_ticks)
    load -s load.rate="$rate" -s load.label="through one entry, $rate requests/s" | grep -E "offered|goodput|first_token|token_interval"
    after=$(cpu_ticks)
    echo "  entry: CPU time $(((after - before) * 10)) ms in about 8 s, resident $(awk '/VmRSS/{print $2}' "/proc/${PID[entry-0]}/status") KB"
done
