#!/usr/bin/env bash
# Builds what the scripts of the third review start, besides target/radishweir: the stand-ins for
# the platform's store, the workers and the clients, and for the network between them. The first
# uses the standard library only, the second also package proxier of this project's stand-in.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target/review-3
export GOWORK=off GOFLAGS=-mod=mod
(cd third/standin && go build -o ../../../target/review-3/third .)
(cd fourth/standin && go build -o ../../../target/review-3/trial .)
