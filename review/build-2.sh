#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 to review/10. Start it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/standins-2 ./review/standins-2
