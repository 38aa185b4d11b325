#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. Runs after the build of the
# deploy file and needs no network.
set -eu
cd "$(dirname "$0")/fourth"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review/trial-4 ./trial
