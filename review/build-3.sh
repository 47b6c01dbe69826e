#!/bin/bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, beside the daemon of the deploy file.
cd "$(dirname "$0")/.." || exit 2
go build -o target/review3-world ./review/world3
