#!/bin/sh
# Makes wire_gen.go from the schema and wire_msgp_gen.go from that.
set -eu
tools=../../../tools/bin
"$tools/go-jsonschema" --only-models --tags msg -p beechwire -o wire_gen.go wire.schema.json
sed -i 's|^package beechwire|//msgp:ignore WireSchemaJson\n\npackage beechwire|' wire_gen.go
"$tools/msgp" -file wire_gen.go -o wire_msgp_gen.go -tests=false -io=false >/dev/null
"$tools/gofumpt" -w wire_gen.go wire_msgp_gen.go
