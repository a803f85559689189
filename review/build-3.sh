#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. It needs nothing but Go.
set -eu
cd "$(dirname "$0")/stand3"
GOWORK=off go build -o ../../target/review-stand3 .
