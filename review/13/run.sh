#!/usr/bin/env bash
# A zone is cut off, and a machine outside that holds jobs with tasks there is stopped as planned meanwhile.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
kit=target/review-3/third
if ! [ -x target/radishweir ] || ! [ -x "$kit" ]; then
  echo "build with the command of deploy/system.toml and review/build-3.sh first"
  exit 2
fi
timeout --kill-after=3 110 "$kit" zonecut target/radishweir "$here/record.txt"
code=$?
[ $code -le 2 ] || code=2
exit $code
