# Sourced by scripts that run a fleet on loopback: starts the stand-ins and hosts, remembers each pid, and ends
# only those. Callers set `fleet_dir` (logs and generated settings) and `fleet_bin` (the build folder).
#
# Addresses: platform 127.0.0.2:6001; router i 127.0.0.(10+i), callers 8080, peers 9090, admin 7070;
# endpoints as the host list says.

fleet_pids=()
fleet_platform=127.0.0.2:6001
fleet_secret="loopback fleet, not a secret"
fleet_token="loopback-operator"

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

# fleet_router_settings NUMBER DOMAIN [HOP_COSTS_JSON] writes the settings file of a router and prints its path.
fleet_router_settings() {
    local number=$1 domain=$2 hops=${3:-[]}
    local ip=127.0.0.$((10 + number)) file="$fleet_dir/router-$number.json"
    cat >"$file" <<JSON
{
    "host": "router-$number",
    "domain": "$domain",
    "callers": {"ip": "$ip", "port": 8080},
    "peers": {"ip": "$ip", "port": 9090},
    "admin": {"ip": "$ip", "port": 7070},
    "peer_secret": "$fleet_secret",
    "platform": {"address": {"ip": "${fleet_platform%:*}", "port": ${fleet_platform#*:}}, "host_list_interval_ms": 500, "load_report_interval_ms": 500},
    "drain": {"balancer_delay_ms": 500},
    "hop_costs": $hops,
    "operators": [{"name": "loopback", "token_sha256": "$(printf '%s' "$fleet_token" | sha256sum | cut -d' ' -f1)"}],
}
JSON
    printf '%s\n' "$file"
}

# fleet_router_start NUMBER DOMAIN [HOP_COSTS_JSON]; sets fleet_last_pid
fleet_router_start() {
    local number=$1 file
    file=$(fleet_router_settings "$@")
    "$fleet_bin/rhubarbwindd" --settings "$file" >>"$fleet_dir/router-$number.log" 2>&1 &
    fleet_last_pid=$!
    fleet_remember "$fleet_last_pid"
}

fleet_router_admin() { printf '127.0.0.%s:7070\n' $((10 + $1)); }
fleet_router_callers() { printf '127.0.0.%s:8080\n' $((10 + $1)); }

fleet_router_ready() { fleet_wait "http://$(fleet_router_admin "$1")/healthz/ready" "${2:-20}"; }

fleet_ctl() {
    local number=$1
    shift
    "$fleet_bin/rhubarbwindctl" --address "$(fleet_router_admin "$number")" --token "$fleet_token" "$@"
}
