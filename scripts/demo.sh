#!/usr/bin/env bash
# Starts the stand-ins and the system as separate processes on loopback, sends requests and stops what it started.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/...
dir=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap cleanup EXIT
bin/hibiscuscross-standin certs "$dir" vm-router vm-agent
bin/hibiscuscross-standin engine --listen 127.0.0.1:19000 & pids+=($!)
bin/hibiscuscrossd agent --cert "$dir/vm-agent.pem" --key "$dir/vm-agent-key.pem" --ca "$dir/ca.pem" --listen 127.0.0.1:17001 --engine http://127.0.0.1:19000 & pids+=($!)
bin/hibiscuscrossd router --cert "$dir/vm-router.pem" --key "$dir/vm-router-key.pem" --ca "$dir/ca.pem" --listen 127.0.0.1:18080 --agent 127.0.0.1:17001 & pids+=($!)
curl -sS --retry 20 --retry-connrefused --retry-delay 1 --max-time 20 -N -H 'Content-Type: application/json' \
  -d '{"model":"reading-aid-01","stream":true}' http://127.0.0.1:18080/v1/chat/completions | tee "$dir/out"
grep -q 'data: \[DONE\]' "$dir/out"
echo "demo: the answer is whole"
