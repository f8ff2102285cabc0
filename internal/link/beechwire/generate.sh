#!/bin/sh
# Generates wire_gen.go from the schema, and wire_msgp_gen.go from wire_gen.go.
set -eu
tools=../../../tools/bin
"$tools/go-jsonschema" --only-models --tags msg -p beechwire -o wire_gen.go wire.schema.json
# Datagrams are arrays without field names: many are sent, and the names were two thirds
# of the bytes. Arrays are limited to 65536 elements: without a limit, a message of a few
# bytes that claims billions of elements makes the decoder run out of memory.
sed -i 's|^package beechwire|//msgp:ignore WireSchemaJson\n//msgp:limit arrays:65536\n//msgp:tuple Follow Announce Tell Target Weights Inquiry Entry Entries Node Gossip Status Engine Heard Speed Busy Summary Recall Held Proof Quiet Outage Served Borrow Loan Origins Query Found Prove Sole Use Spent Seen Limit Limits Full FullServer CrashSuspect ServerCrash TraitEvent Poison RankLoad Strain Demand Pressure Health Return Returns Acquire Fence\n\npackage beechwire|' wire_gen.go
"$tools/msgp" -file wire_gen.go -o wire_msgp_gen.go -tests=false -io=false >/dev/null
"$tools/gofumpt" -w wire_gen.go wire_msgp_gen.go
