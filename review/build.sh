#!/bin/sh
# Builds every stand-in and driver that the cases start, into review/bin/.
cd "$(dirname "$0")/.." || exit 2
mkdir -p review/bin && exec go build -tags review -o review/bin/ ./review/...
