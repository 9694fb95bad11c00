#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They need Go's standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
