# Functions that start a small deployment on loopback from a sheet: stand-ins, entry instances and controllers, all on
# ports assigned by the system. Sourced by demo.sh and the measurement scripts.
#
#   deployment_start SHEET ENTRIES [controllers|fixed]   "fixed": no controllers; ENGINE_HOLDS gives the engines' layers
#   deployment_publish                                   publishes the sheet with the actual addresses
#   deployment_stop                                      stops all processes that were started
#
# Sets: WORK (folder), SHEET (file with the actual addresses), ENTRY[i], CONTROLLER[i], LOG, ENGINE[name], SERVICE[name].

BIN=${BIN:-build/bin}
WORK=${WORK:-$(mktemp -d /tmp/chestnutgw-XXXXXX)}
declare -A ENGINE SERVICE PID
ENTRY=()
ENTRY_PEER=()
CONTROLLER=()
PIDS=()

# Starts a program in the background under a name; its output goes to WORK/NAME.out and .err.
launch() {
    local name=$1
    shift
    "$@" > "$WORK/$name.out" 2> "$WORK/$name.err" &
    PID[$name]=$!
    PIDS+=($!)
}

# Waits until a program reports the address on which it listens, and prints the address.
address_of() {
    local name=$1
    for _ in $(seq 200); do
        if grep -q '^listening on' "$WORK/$name.out" 2> /dev/null; then
            sed -n 's/^listening on \([0-9.:]*\).*/\1/p' "$WORK/$name.out" | head -1
            return
        fi
        sleep 0.05
    done
    echo "program $name did not start:" >&2
    cat "$WORK/$name.err" >&2
    return 1
}

# Prints the settings of an engine for its accelerator and number: layer_ms, slots, max_layers, link_ms.
engine_settings() {
    local accelerator=$1 number=$2 link=0.1
    [ "$accelerator" = gddr24 ] && link=0.5
    [ "$accelerator" = ddr16 ] && link=1
    [ $((number % 13)) = 12 ] && link=10
    case $accelerator in
        hbm80) echo "-s engine.layer_ms=${HBM_LAYER_MS:-0.5} -s engine.slots=4 -s engine.max_layers=16 -s engine.link_ms=$link" ;;
        gddr24) echo "-s engine.layer_ms=${GDDR_LAYER_MS:-1} -s engine.slots=4 -s engine.max_layers=12 -s engine.link_ms=$link" ;;
        *) echo "-s engine.layer_ms=${DDR_LAYER_MS:-4} -s engine.slots=4 -s engine.max_layers=12 -s engine.link_ms=$link" ;;
    esac
}

start_engines() {
    local number=0 name accelerator fence
    while IFS=, read -r _ name _ _ _ accelerator _ _ _ _ _ _ _ fence _; do
        # shellcheck disable=SC2046
        launch "$name" "$BIN/chestnutgw-standin" -s standin.mode=engine -s "engine.name=$name" -s "engine.checks_fence=$fence" -s "engine.weights_url=http://$WEIGHTS" $(engine_settings "$accelerator" "$number") ${ENGINE_HOLDS:+-s "engine.holds=$(eval echo "$ENGINE_HOLDS")"}
        number=$((number + 1))
    done < <(grep '^server,' "$1")
}

# Writes the sheet to SHEET with the placeholder addresses replaced by the actual ones.
rewrite_sheet() {
    local line name kind
    while IFS= read -r line; do
        kind=${line%%,*}
        name=$(echo "$line" | cut -d, -f2)
        case $kind in
            server) echo "$line" | awk -F, -v OFS=, -v a="${ENGINE[$name]}" '{$5=a; print}' ;;
            replica) echo "$line" | awk -F, -v OFS=, -v a="${SERVICE[$name]}" '{$5=a; print}' ;;
            *) echo "$line" ;;
        esac
    done < "$1" > "$SHEET"
}

deployment_start() {
    local sheet=$1 entries=$2 mode=${3:-controllers} i name
    SHEET=$WORK/sheet.csv
    launch log "$BIN/chestnutgw-standin" -s standin.mode=log
    launch instances "$BIN/chestnutgw-standin" -s standin.mode=instances
    launch weights "$BIN/chestnutgw-standin" -s standin.mode=weights -s "weights.layers_per_second=${WEIGHTS_RATE:-400}"
    LOG=$(address_of log)
    LIST=$(address_of instances)
    WEIGHTS=$(address_of weights)
    start_engines "$sheet"
    for name in $(grep '^replica,' "$sheet" | cut -d, -f2 | sort -u); do
        launch "$name" "$BIN/chestnutgw-standin" -s standin.mode=service
        SERVICE[$name]=$(address_of "$name")
    done
    for name in $(grep '^server,' "$sheet" | cut -d, -f2); do
        ENGINE[$name]=$(address_of "$name")
    done
    mapfile -t DOMAINS < <(grep '^server,' "$sheet" | cut -d, -f4 | sort -u)
    for i in $(seq 0 $((entries - 1))); do
        local domain=${DOMAINS[$((i % ${#DOMAINS[@]}))]}
        # shellcheck disable=SC2086
        launch "entry-$i" "$BIN/chestnutgw-entry" -s "instance.name=entry-$i" -s "instance.failure_domain=$domain" -s "platform.log_url=http://$LOG" -s "platform.list_url=http://$LIST" -s "instance.peers=$(IFS=,; echo "${ENTRY_PEER[*]}")" -s test.faults=yes ${ENTRY_SETTINGS:-}
        ENTRY[$i]=$(address_of "entry-$i")
        ENTRY_PEER[$i]=$(sed -n 's/.*peers \([0-9.:]*\)$/\1/p' "$WORK/entry-$i.out" | head -1)
        if [ "$mode" = controllers ]; then
            launch "controller-$i" "$BIN/chestnutgw-controller" -s "instance.name=controller-$i" -s "instance.failure_domain=$domain" -s "platform.log_url=http://$LOG" ${CONTROLLER_SETTINGS:-}
            CONTROLLER[$i]=$(address_of "controller-$i")
        fi
    done
    rewrite_sheet "$sheet"
}

deployment_publish() {
    "$BIN/chestnutctl" --entry "${ENTRY[0]}" --author "${1:-planner}" sheet publish "$SHEET" --wait
}

# wait_until COMMAND...: repeats the command until it succeeds, up to 600 times at intervals of 0.1 s.
wait_until() {
    for _ in $(seq 600); do
        "$@" > /dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "timed out waiting for: $*" >&2
    return 1
}

deployment_stop() {
    local pid
    for pid in "${PIDS[@]}"; do
        kill "$pid" 2> /dev/null
    done
    sleep 0.3
    for pid in "${PIDS[@]}"; do
        kill -9 "$pid" 2> /dev/null
    done
    wait 2> /dev/null
    PIDS=()
}
