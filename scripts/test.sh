#!/usr/bin/env bash
# Runs all tests with the race detector, passing over exactly the specs that KNOWN-RED.txt lists, which it prints.
# An entry is a line "spec: <full text of the spec or name of the test>" followed by its details.
set -euo pipefail
cd "$(dirname "$0")/.."
flags=()
if [ -s KNOWN-RED.txt ]; then
  while IFS= read -r spec; do
    echo "known red, passed over: $spec"
    pattern=$(printf '%s' "$spec" | sed 's/[][\.*^$()+?{}|]/\\&/g')
    flags+=("-ginkgo.skip=^.*$pattern\$")
  done < <(sed -n 's/^spec: //p' KNOWN-RED.txt)
fi
# Runs alone at the end, since its processes are compared with their memory limits.
alone=./pkg/untrusted
run() { go test -race -count=1 -timeout 600s "$@"; }
others=$(go list -f '{{.Dir}}' ./... | sed "s|^$PWD|.|" | grep -vxF "$alone")
if [ ${#flags[@]} -eq 0 ]; then
  run $others
  run "$alone"
  exit
fi
# Only packages with a Ginkgo suite take the flag; the others are run without it.
suites=$(grep -rl --include='*_test.go' 'RunSpecs(' . | xargs -n1 dirname | sort -u | grep -vxF "$alone")
others=$(printf '%s\n' "$others" | grep -vxF "$suites" || true)
run $suites "${flags[@]}"
if [ -n "$others" ]; then run $others; fi
run "$alone" "${flags[@]}"
