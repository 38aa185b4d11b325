#!/usr/bin/env bash
# Runs the case that claim.txt describes. It exits with 1 if the rule was broken, 0 if
# it held and 2 if the case could not run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/stand ] && [ -x target/radishweir ] || exit 2
exec review/bin/stand late-write review/5
