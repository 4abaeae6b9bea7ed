#!/usr/bin/env bash
# Starts the platform stand-in, two data centres with two entry VMs each and targets for every service, sends
# requests through all of them, and stops what it started.
set -euo pipefail
cd "$(dirname "$0")/../.."
. tools/lib.sh

echo "demo: starting the platform stand-in"
start_platform 127.0.0.1:17000
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
    start_entry "$dc-$i" "$dc" "$port"
    entries+=("127.0.0.1:$port")
    port=$((port + 3))
  done
done
bin/demo --requests 2000 --rate 200 "${entries[@]}"
