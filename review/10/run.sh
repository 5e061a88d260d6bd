#!/usr/bin/env bash
# A router is told to end while a client still reads the answers to commands that it sent before.
# It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves out the
# disruption. It needs the build of the deploy file and review/build-2.sh.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$here/../.." || exit 2
RUN_LINE=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
export RUN_LINE
[ -n "$RUN_LINE" ] && [ -x bin/dockhinge ] && [ -x bin/review-stand ] || exit 2
exec bin/review-stand end "$here/record.txt"
