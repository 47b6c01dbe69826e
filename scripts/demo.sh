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
echo '[{"id":"vm-agent","addr":"127.0.0.1","region":"lagos","zone":"lagos-1","state":"live"}]' > "$dir/vms.json"
bin/hibiscuscross-standin store --listen 127.0.0.1:19100 & pids+=($!)
bin/hibiscuscross-standin vms --listen 127.0.0.1:19101 --file "$dir/vms.json" & pids+=($!)
echo '{"models":{"reading-aid-01":{"memoryBytes":15032385536,"tier":"memory"}}}' > "$dir/catalogue.json"
bin/hibiscuscross-standin engine --listen 127.0.0.1:19000 --require-loaded --catalogue "$dir/catalogue.json" & pids+=($!)
caller=example-key-van-librarians-lagos
go run ./examples/okonkwo-adeyemi > "$dir/config.json"
bin/hibiscuscrossctl --store http://127.0.0.1:19100 apply --base 0 "$dir/config.json"
bin/hibiscuscrossd agent --cert "$dir/vm-agent.pem" --key "$dir/vm-agent-key.pem" --ca "$dir/ca.pem" --vm vm-agent \
  --region lagos --zone lagos-1 --group reading-aid --listen 127.0.0.1:17001 --ops-listen 127.0.0.1:17002 \
  --engine http://127.0.0.1:19000 --store-url http://127.0.0.1:19100 --vm-list-url http://127.0.0.1:19101 & pids+=($!)
curl -sS -o /dev/null --fail --retry 20 --retry-all-errors --retry-delay 1 --max-time 5 http://127.0.0.1:17002/readyz
bin/hibiscuscrossd router --cert "$dir/vm-router.pem" --key "$dir/vm-router-key.pem" --ca "$dir/ca.pem" --vm vm-router \
  --region lagos --zone lagos-1 --listen 127.0.0.1:18080 --ops-listen 127.0.0.1:18081 --shutdown-delay 0s \
  --store-url http://127.0.0.1:19100 --vm-list-url http://127.0.0.1:19101 & pids+=($!)
curl -sS -o /dev/null --fail --retry 20 --retry-all-errors --retry-delay 1 --max-time 5 http://127.0.0.1:18081/readyz
for _ in $(seq 40); do
  if curl -sS --max-time 5 http://127.0.0.1:18081/status | grep -q '"candidates":1'; then break; fi
  sleep 0.5
done
curl -sS --max-time 20 -N -H 'Content-Type: application/json' -H "Authorization: Bearer $caller" \
  -d '{"model":"reading-aid-01","stream":true}' http://127.0.0.1:18080/v1/chat/completions | tee "$dir/out"
grep -q '"outcome":"done"' "$dir/out"
grep -q 'data: \[DONE\]' "$dir/out"
echo "demo: the answer is whole"
