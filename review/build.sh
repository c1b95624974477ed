#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-harness ./review/harness
