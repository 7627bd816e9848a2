# Sourced by scripts that run a fleet on loopback: starts the stand-ins and hosts, remembers each pid, and ends
# only those. Callers set `fleet_dir` (logs and generated settings), `fleet_bin` (the build folder) and `fleet_firm`.
#
# Addresses are those of examples/<firm>: platform 127.0.0.2:7100; host i 127.0.0.(10+i), callers 7300, peers 7301,
# admin 7302; worker i 127.0.0.(30+i):7201; service i 127.0.0.(50+i):7201.

fleet_pids=()
fleet_platform=127.0.0.2:7100

fleet_log() { printf '%s\n' "$*" >&2; }

# Remembers a process so that it is ended with the fleet.
fleet_remember() {
    fleet_pids+=("$1")
    printf '%s\n' "$1" >>"$fleet_dir/pids"
}

# Ends every process that this fleet started, and waits for it.
fleet_stop() {
    local pid
    for pid in "${fleet_pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -TERM "$pid" 2>/dev/null || true
    done
    local waited=0
    for pid in "${fleet_pids[@]}"; do
        while kill -0 "$pid" 2>/dev/null && [ "$waited" -lt 50 ]; do
            sleep 0.1
            waited=$((waited + 1))
        done
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    fleet_pids=()
}

# Waits until an address answers; fleet_wait URL SECONDS
fleet_wait() {
    local end=$((SECONDS + $2))
    until curl -sf -m 1 -o /dev/null "$1"; do
        if [ "$SECONDS" -ge "$end" ]; then
            fleet_log "no answer from $1 within $2 s"
            return 1
        fi
        sleep 0.1
    done
}

# fleet_platform_start HOSTS_JSON PRESET_JSON [MORE OPTIONS...]
fleet_platform_start() {
    local hosts=$1 preset=$2
    shift 2
    "$fleet_bin/standin-platform" --listen "$fleet_platform" --hosts "$hosts" --preset "$preset" "$@" >"$fleet_dir/platform.log" 2>&1 &
    fleet_remember $!
    fleet_wait "http://$fleet_platform/v1/hosts" 10
}

# fleet_router_settings NUMBER DOMAIN fills in the firm's template and prints the file's path.
fleet_router_settings() {
    local file="$fleet_dir/host-$1.json"
    sed -e "s/@HOST@/host-$1/; s/@DOMAIN@/$2/; s/@IP@/127.0.0.$((10 + $1))/g" "examples/$fleet_firm/settings.template.json" >"$file"
    printf '%s\n' "$file"
}

# fleet_router_start NUMBER DOMAIN; sets fleet_last_pid
fleet_router_start() {
    local file
    file=$(fleet_router_settings "$@")
    "$fleet_bin/rhubarbwindd" --settings "$file" >>"$fleet_dir/host-$1.log" 2>&1 &
    fleet_last_pid=$!
    fleet_remember "$fleet_last_pid"
}

# fleet_engine_start NUMBER MODEL [MORE OPTIONS...]
fleet_engine_start() {
    local number=$1 model=$2
    shift 2
    "$fleet_bin/standin-engine" --listen "127.0.0.$((30 + number)):7201" --name "worker-$number" --model "$model" "$@" >"$fleet_dir/worker-$number.log" 2>&1 &
    fleet_remember $!
}

# fleet_service_start NUMBER
fleet_service_start() {
    "$fleet_bin/standin-service" --listen "127.0.0.$((50 + $1)):7201" >"$fleet_dir/service-$1.log" 2>&1 &
    fleet_remember $!
}

fleet_router_admin() { printf '127.0.0.%s:7302\n' $((10 + $1)); }
fleet_router_callers() { printf '127.0.0.%s:7300\n' $((10 + $1)); }

fleet_router_ready() { fleet_wait "http://$(fleet_router_admin "$1")/healthz/ready" "${2:-20}"; }

fleet_ctl() {
    local number=$1
    shift
    "$fleet_bin/rhubarbwindctl" --address "$(fleet_router_admin "$number")" --token "$fleet_firm-operator" "$@"
}
