# Shell functions for scripts that run a complete deployment as separate processes on one machine. A script that sources
# this file stops every process that it started when it exits, and prints the end of their logs if it failed.

work=$(mktemp -d)
pids=()

stop_all() {
  status=$?
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  [ "$status" -eq 0 ] || tail -n 5 "$work"/*.log >&2
  rm -rf "$work"
  exit "$status"
}
trap stop_all EXIT

start() { # start NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

start_platform() { # start_platform ADDRESS; sets "platform" to the address and waits until it responds
  platform=$1
  start platform bin/standin platform --listen "$platform"
  for _ in $(seq 100); do
    curl -fs "http://$platform/v1/vms" >/dev/null 2>&1 && return
    sleep 0.05
  done
  echo "the simulated platform at $platform does not respond" >&2
  return 1
}

register() { # register NAME ADDRESS DATA_CENTRE SERVICE; adds a live VM to the platform's list of VMs
  curl -fsS -X POST "http://$platform/control/vms" \
    -d "{\"name\":\"$1\",\"address\":\"$2\",\"data_centre\":\"$3\",\"service\":\"$4\",\"state\":\"live\"}"
}

start_entry() { # start_entry NAME DATA_CENTRE FIRST_PORT [SETTINGS]; uses three consecutive ports
  local name=$1 data_centre=$2 port=$3
  cat >"$work/$name.json" <<JSON
{
  "vm": {"name": "$name", "data_centre": "$data_centre"},
  "caller": {"listen": "127.0.0.1:$port", "max_in_flight": 2000},
  "operator": {"listen": "127.0.0.1:$((port + 1))"},
  "peer": {"listen": "127.0.0.1:$((port + 2))"},
  "platform": {"url": "http://$platform"},
  "shutdown": {"balancer_wait": "200ms", "grace": "10s"},
  ${4:-}
}
JSON
  register "$name" "127.0.0.1:$((port + 2))" "$data_centre" radishramp
  start "$name" bin/radishramp serve -c "$work/$name.json"
}
