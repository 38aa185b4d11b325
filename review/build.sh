#!/usr/bin/env bash
# Builds the stand-ins of the cases' scripts.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOWORK=off GOFLAGS= go build -buildvcs=false -o ../bin/stand .
