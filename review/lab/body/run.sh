#!/bin/sh
# Plays the case; TROUBLE=0 leaves out the disruption. It comes after the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../../.." || exit 2
[ -x review/lab/bin/lab ] || exit 2
exec review/lab/bin/lab case body review/lab/body
