#!/usr/bin/env bash
# The simulator's clock begins below zero. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
# couldn't run. TROUBLE=0 leaves out the disruption. It needs the build of the deploy file and review/build-2.sh.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$here/../.." || exit 2
SIM_LINE=$(sed -n 's/^sim = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
export SIM_LINE
[ -n "$SIM_LINE" ] && [ -x bin/dockhinge-sim ] && [ -x bin/review-stand ] || exit 2
exec bin/review-stand clock "$here/record.txt"
