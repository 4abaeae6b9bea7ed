#!/usr/bin/env bash
# Starts a simulated platform and two data centres, each with two entry VMs and two simulated targets per service. Sends
# requests through all entry VMs and stops all processes at the end.
set -euo pipefail
cd "$(dirname "$0")/../.."
. tools/lib.sh

echo "demo: starting the simulated platform"
start_platform 127.0.0.1:17000
bin/radishramp rules apply --platform "http://$platform" --by demo examples/demo/demo.rules

echo "demo: starting 2 data centres with 2 entry VMs and 12 targets each"
port=17100
for data_centre in bandung semarang; do
  for service in encoder archive reranker llm booking dispatch; do
    for i in 1 2; do
      port=$((port + 1))
      start "$service-$data_centre-$i" bin/standin target --listen "127.0.0.1:$port" --name "$service-$data_centre-$i" --work 5ms --cold-for 3s --cold-capacity 2
      register "$service-$data_centre-$i" "127.0.0.1:$port" "$data_centre" "$service"
    done
  done
done
entries=()
port=17200
for data_centre in bandung semarang; do
  for i in 1 2; do
    start_entry "$data_centre-$i" "$data_centre" "$port"
    entries+=("127.0.0.1:$port")
    port=$((port + 3))
  done
done
bin/demo --requests 2000 --rate 200 "${entries[@]}"
