#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. They need the standard library only.
set -eu
cd "$(dirname "$0")/world-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-2/world-2 .
