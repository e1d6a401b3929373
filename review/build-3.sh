#!/bin/sh
# Builds the stand-ins and players of the cases 11 to 15. The programs of the system come from the build
# of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/lab3 ./review/lab3
