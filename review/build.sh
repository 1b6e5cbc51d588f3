#!/bin/sh
# Builds the stand-ins of the scripts. The programs themselves are built by the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review/driver ./review/driver
