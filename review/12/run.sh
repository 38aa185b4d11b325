#!/usr/bin/env bash
# The store does not answer one entry for some seconds, in which one of its workers crashes.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
kit=target/review-3/trial
if ! [ -x target/radishweir ] || ! [ -x "$kit" ]; then
  echo "build with the command of deploy/system.toml and review/build-3.sh first"
  exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout --kill-after=3 115 "$kit" -case forget -program target/radishweir -record "$here/record.txt" -trouble=$trouble
code=$?
[ $code -le 2 ] || code=2
exit $code
