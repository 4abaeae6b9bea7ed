# Functions of the scripts that run the whole path as separate processes; they stop all that they started.

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

start_platform() { # start_platform ADDRESS
  platform=$1
  start platform bin/standin platform --listen "$platform"
  for _ in $(seq 100); do
    curl -fs "http://$platform/v1/vms" >/dev/null 2>&1 && return
    sleep 0.05
  done
  echo "the platform stand-in does not answer" >&2
  return 1
}

register() { # register NAME ADDRESS DATA_CENTRE SERVICE
  curl -fsS -X POST "http://$platform/control/vms" \
    -d "{\"name\":\"$1\",\"address\":\"$2\",\"data_centre\":\"$3\",\"service\":\"$4\",\"state\":\"live\"}"
}

start_entry() { # start_entry NAME DATA_CENTRE FIRST_PORT [SETTINGS]
  local name=$1 dc=$2 port=$3
  cat >"$work/$name.json" <<JSON
{
  "vm": {"name": "$name", "data_centre": "$dc"},
  "caller": {"listen": "127.0.0.1:$port", "max_in_flight": 2000},
  "operator": {"listen": "127.0.0.1:$((port + 1))"},
  "peer": {"listen": "127.0.0.1:$((port + 2))"},
  "platform": {"url": "http://$platform"},
  "shutdown": {"balancer_wait": "200ms", "grace": "10s"},
  ${4:-}
}
JSON
  register "$name" "127.0.0.1:$((port + 2))" "$dc" radishramp
  start "$name" bin/radishramp serve -c "$work/$name.json"
}
