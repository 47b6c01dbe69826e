#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the daemon: stand-ins for clients, runners and the platform.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/hibiscuscross-review-2 ./review/world2
