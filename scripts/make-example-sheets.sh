#!/usr/bin/env bash
# Writes conf/example-sk-west.csv and conf/example-bg-south.csv, the two deployments at their current sizes. The bearer
# key of each client account is its name followed by "-key". Addresses are placeholders on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."

key() {
    printf '%s-key' "$1" | sha256sum | cut -d' ' -f1
}

# sheet FILE SERVICE READS MODEL_A LAYERS_A MODEL_B LAYERS_B BASE_PORT DOMAIN... -- ACCOUNT:WEIGHT:WORTH...
sheet() {
    local file=$1 service=$2 reads=$3 model_a=$4 layers_a=$5 model_b=$6 layers_b=$7 port=$8
    shift 8
    local domains=()
    while [ "$1" != -- ]; do
        domains+=("$1")
        shift
    done
    shift
    {
        echo "kind,name,of,failure_domain,address,accelerator,layers,weight,worth,tokens_per_second,deadline_ms,key_sha256,repeat,checks_fence,state"
        for account in "$@"; do
            IFS=: read -r name weight worth <<< "$account"
            echo "account,$name,,,,,,$weight,$worth,,20000,$(key "$name"),,,active"
        done
        echo "model,$model_a,,,,,$layers_a,,,,,,,,"
        echo "model,$model_b,,,,,$layers_b,,,,,,,,"
        echo "version,v1,$model_a,,,,,,,,,,,,active"
        echo "version,v1,$model_b,,,,,,,,,,,,active"
        for account in "$@"; do
            echo "grant,${account%%:*},$model_a/v1,,,,,,,,,,,,"
            echo "grant,${account%%:*},$model_b/v1,,,,,,,,,,,,"
        done
        local kinds=(hbm80 gddr24 ddr16) i
        for i in $(seq 0 39); do
            local fence=yes
            [ $((i % 5)) = 4 ] && fence=no
            printf 'server,gpu-%02d,,%s,127.0.0.1:%d,%s,,%d,,,,,,%s,active\n' "$i" "${domains[$((i % ${#domains[@]}))]}" $((port + i)) "${kinds[$((i / 3 % 3))]}" 4 "$fence"
        done
        echo "service,$service,,,,,,,,,10000,,once,,"
        echo "service,$reads,,,,,,,,,10000,,repeatable,,"
        for i in 0 1 2; do
            echo "replica,app-$i,$service,${domains[$i]},127.0.0.1:$((port + 50 + i)),,,,,,,,,,active"
            echo "replica,app-$i,$reads,${domains[$i]},127.0.0.1:$((port + 50 + i)),,,,,,,,,,active"
        done
    } > "$file"
}

sheet conf/example-sk-west.csv prices histories survey-70b 48 classify-8b 16 21000 sk-west-a sk-west-b sk-west-c -- \
    zelezo:4:3 chemko:4:3 drevo:2:2 sklo:1:2 papier:1:1 textil:1:1 pekar:1:1 mlyn:1:1 kamen:1:1 energo:2:5
sheet conf/example-bg-south.csv purchases sellers notes-70b 48 hallmarks-8b 16 22000 plovdiv-a plovdiv-b stara-zagora -- \
    plovdiv-center:4:3 plovdiv-mall:3:3 stara-zagora-1:3:3 sofia-lab:1:1 audit:1:5 sliven:1:2 haskovo:1:2 yambol:1:2 asenovgrad:1:2 kazanlak:1:2
