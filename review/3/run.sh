#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
if [ ! -x ../../target/beechring ] || [ ! -x "../bin/$(basename "$PWD")" ]; then
	echo "not run: build as the deploy file says, then review/build.sh" >&2
	exit 2
fi
exec "../bin/$(basename "$PWD")" -root ../.. -record record.txt
