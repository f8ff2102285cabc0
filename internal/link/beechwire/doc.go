// Package beechwire holds the messages that beechring's processes send one
// another. The types are generated from wire.schema.json; nothing here opens
// a connection.
//
// # Usage
//
// Encode with MarshalMsg, decode with UnmarshalMsg. A field that the decoder
// does not know is passed over, so a newer process may add fields.
//
//	frame, err := (&beechwire.Cancel{Stream: 7}).MarshalMsg(nil)
package beechwire

//go:generate sh generate.sh

// Version is the protocol version of this package's messages.
const Version = 1

// RecordShards is how many shards the records of requests that may not be
// repeated have, the same in all processes. Few shards make large groups: with
// 64, a hundred claims a second were a write each, and the platform's service
// takes some hundred.
const RecordShards = 8

// Roles of a process on a link.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
	RoleTool  = "tool"
)

// Methods of Call.
const (
	MethodConfiguration = "configuration"
	MethodSnapshot      = "snapshot"
	MethodShare         = "share"
	MethodClaim         = "claim"
	MethodFinish        = "finish"
	MethodChanges       = "changes"
)

// Reasons of Refused and Failed.
const (
	ReasonBusy       = "busy"
	ReasonDeadline   = "deadline"
	ReasonLeaving    = "leaving"
	ReasonGeneration = "generation"
	ReasonModel      = "model"
	ReasonSuspect    = "suspect"
	ReasonClaim      = "claim"
	ReasonCrash      = "crash"
	ReasonServer     = "server"
	ReasonCancelled  = "cancelled"
	ReasonGone       = "gone"
	ReasonNever      = "never" // the request to be joined never came, and is not run here any more
	ReasonMalformed  = "malformed"
	ReasonTimeout    = "timeout"
)

// What is known of whether a request ran.
const (
	RanNo      = "no"
	RanYes     = "yes"
	RanUnknown = "unknown"
)

// States of a record of a request that may not be repeated.
const (
	StateGranted  = "granted"  // the token may be used once
	StateRunning  = "running"  // repeatable and placed at Agent under RequestID
	StateDone     = "done"     // Status, ContentType and Answer hold the outcome
	StateUnknown  = "unknown"  // claimed, outcome not known: never run again
	StateMismatch = "mismatch" // same key, another body
	StateRefused  = "refused"  // not claimed: platform down or over budget
)

// ServiceTarget is a plain service's name in Heartbeat.Models, where engines
// have "model@weights".
func ServiceTarget(service string) string { return "service:" + service }
