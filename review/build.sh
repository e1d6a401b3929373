#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
set -e
cd "$(dirname "$0")/lab"
mkdir -p ../../target
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-lab .
