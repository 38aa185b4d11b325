#!/usr/bin/env bash
# Builds what the scripts of the third review start, besides target/radishweir: the stand-ins for
# the platform's store, the workers and the clients. They use the standard library only.
set -eu
cd "$(dirname "$0")/third/standin"
mkdir -p ../../../target/review-3
GOWORK=off GOFLAGS=-mod=mod go build -o ../../../target/review-3/third .
