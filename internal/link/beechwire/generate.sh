#!/bin/sh
# Makes wire_gen.go from the schema and wire_msgp_gen.go from that.
set -eu
tools=../../../tools/bin
"$tools/go-jsonschema" --only-models --tags msg -p beechwire -o wire_gen.go wire.schema.json
# Datagrams are arrays, without field names: many are sent, and the names were two
# thirds of each. No list is longer than what a link carries at once: a message of a
# few bytes that claims billions would have the reader run out of memory.
sed -i 's|^package beechwire|//msgp:ignore WireSchemaJson\n//msgp:limit arrays:65536\n//msgp:tuple Follow Announce Tell Target Weights Copy Peers Inquiry Vouch Entry Entries Pass Passed Zone Roster Use Spent Seen Paces Limit Limits Full FullServer\n\npackage beechwire|' wire_gen.go
"$tools/msgp" -file wire_gen.go -o wire_msgp_gen.go -tests=false -io=false >/dev/null
"$tools/gofumpt" -w wire_gen.go wire_msgp_gen.go
