#!/usr/bin/env bash
# A cache server's connection breaks in the middle of a long value, with other commands behind it.
# It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves out the
# disruption. It needs the build of the deploy file and review/build-2.sh.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$here/../.." || exit 2
RUN_LINE=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
export RUN_LINE
[ -n "$RUN_LINE" ] && [ -x bin/dockhinge ] && [ -x bin/review-stand ] || exit 2
exec bin/review-stand cut "$here/record.txt"
