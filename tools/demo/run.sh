#!/usr/bin/env bash
# Starts the platform stand-in, two data centres with two entry VMs each and targets for every service, sends
# requests through all of them, and stops what it started.
set -euo pipefail
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
pids=()
stop() {
  status=$?
  # Entry VMs first, so that each leaves in order.
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  [ "$status" -eq 0 ] || tail -n 5 "$work"/*.log >&2
  rm -rf "$work"
  exit "$status"
}
trap stop EXIT
start() { # start NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}
platform=127.0.0.1:17000
register() { # register NAME ADDRESS DATA_CENTRE SERVICE
  curl -fsS -X POST "http://$platform/control/vms" \
    -d "{\"name\":\"$1\",\"address\":\"$2\",\"data_centre\":\"$3\",\"service\":\"$4\",\"state\":\"live\"}"
}

echo "demo: starting the platform stand-in"
start platform bin/standin platform --listen "$platform"
for _ in $(seq 100); do curl -fs "http://$platform/v1/vms" >/dev/null 2>&1 && break; sleep 0.05; done
bin/radishramp rules apply --platform "http://$platform" --by demo examples/demo/demo.rules

echo "demo: starting 2 data centres with 2 entry VMs and 12 targets each"
port=17100
for dc in bandung semarang; do
  for service in encoder archive reranker llm booking dispatch; do
    for i in 1 2; do
      port=$((port + 1))
      start "$service-$dc-$i" bin/standin target --listen "127.0.0.1:$port" --name "$service-$dc-$i" --work 5ms --cold-for 3s --cold-capacity 2
      register "$service-$dc-$i" "127.0.0.1:$port" "$dc" "$service"
    done
  done
done
entries=()
port=17200
for dc in bandung semarang; do
  for i in 1 2; do
    caller=127.0.0.1:$((port + 1)) operator=127.0.0.1:$((port + 2)) peer=127.0.0.1:$((port + 3))
    port=$((port + 3))
    cat >"$work/$dc-$i.json" <<JSON
{
  // Entry VM $i of the data centre $dc.
  "vm": {"name": "$dc-$i", "data_centre": "$dc"},
  "caller": {"listen": "$caller"},
  "operator": {"listen": "$operator"},
  "peer": {"listen": "$peer"},
  "platform": {"url": "http://$platform"},
  "shutdown": {"balancer_wait": "200ms", "grace": "10s"},
}
JSON
    register "$dc-$i" "$peer" "$dc" radishramp
    start "$dc-$i" bin/radishramp serve -c "$work/$dc-$i.json"
    entries+=("$caller")
  done
done
bin/demo --requests 2000 --rate 200 "${entries[@]}"
