#!/bin/sh
# Builds the stand-ins of the second review's scripts. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o review/lab/bin/ ./review/lab
