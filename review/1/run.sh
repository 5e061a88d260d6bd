#!/bin/sh
# Plays case 1 and writes record.txt beside this file: exit status 0 = the rule held, 1 = it was broken, 2 = not run.
# TROUBLE=0 plays it without its disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/dockhinge ] || [ ! -x review/bin/play ]; then
	echo 'not run: build first, by the deploy file and by review/build.sh' >&2
	exit 2
fi
exec review/bin/play 1 review/1
