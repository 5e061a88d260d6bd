#!/usr/bin/env bash
# Large values of the origin come without a length, and clients read them slowly.
# It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves out the
# disruption. It needs the build of the deploy file and review/build-2.sh.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$here/../.." || exit 2
[ -x bin/dockhinge ] && [ -x bin/review-rig ] || exit 2
exec bin/review-rig over-memory "$here"
