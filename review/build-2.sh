#!/bin/bash
# Builds the stand-in of the second review's cases. It needs the standard library only.
set -eu
cd "$(dirname "$0")/second/standin"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../../target/standin-2 .
