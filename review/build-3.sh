#!/bin/sh
# Builds the stand-ins of the scripts of the third review. Run it after the build of
# deploy/system.toml, which builds the entry host.
set -e
cd "$(dirname "$0")/.."
go build -o target/standin3 ./review/_standin3
