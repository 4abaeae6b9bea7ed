#!/usr/bin/env bash
# Measures the latency that an entry VM adds to a four-stage request, with simulated targets that respond without delay.
set -euo pipefail
cd "$(dirname "$0")/../.."
. tools/lib.sh

start_platform 127.0.0.1:17500
bin/radishramp rules apply --platform "http://$platform" --by bench examples/demo/demo.rules
port=17510
targets=()
for service in encoder archive reranker llm; do
  port=$((port + 1))
  start "$service" bin/standin target --listen "127.0.0.1:$port" --name "$service-1" --work 0s
  register "$service-1" "127.0.0.1:$port" bandung "$service"
  targets+=("127.0.0.1:$port")
done
start_entry entry-1 bandung 17520
bin/bench --entry 127.0.0.1:17520 --rate "${RATE:-2000}" --seconds "${SECONDS_EACH:-10}" "${targets[@]}"
