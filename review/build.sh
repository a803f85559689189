#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/ start. It needs the Go toolchain only: no module is fetched.
set -eu
cd "$(dirname "$0")/world"
GOWORK=off GOPROXY=off CGO_ENABLED=0 go build -buildvcs=false -o ../bin/world .
