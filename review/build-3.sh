#!/usr/bin/env bash
# Builds the stand-ins of review 3, which run the cases 11 to 14. The programs of the deploy file must be built too.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/standins-3 ./review/standins-3
