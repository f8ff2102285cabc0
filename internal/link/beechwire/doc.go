// Package beechwire defines the messages that beechring's processes exchange. The
// types are generated from wire.schema.json. The package opens no connections.
//
// # Usage
//
// Encode with MarshalMsg, decode with UnmarshalMsg. The messages of links are maps with
// field names, and the decoder skips unknown fields, so a newer release may add fields.
// The messages of datagrams are arrays without field names, whose fields never change.
//
//	frame, err := (&beechwire.Cancel{Stream: 7}).MarshalMsg(nil)
package beechwire

//go:generate sh generate.sh

// Version is the protocol version of this package's messages.
const Version = 1

// RecordShards is the number of shards of the records of requests that must not be
// repeated, the same in all processes. Claims of one shard are written as a group, so few
// shards make large groups: with 64 shards, each of a hundred claims per second was a
// write of its own, and the platform's service accepts about a hundred writes per second.
const RecordShards = 8

// Roles of the processes on a link.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
	RoleTool  = "tool"
)

// Methods of a Call.
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
	ReasonNever      = "never" // the request to join was never received, and is rejected if it arrives later
	ReasonMalformed  = "malformed"
	ReasonTimeout    = "timeout"
)

// Whether a request was executed.
const (
	RanNo      = "no"
	RanYes     = "yes"
	RanUnknown = "unknown"
)

// States of the record of a request that must not be repeated.
const (
	StateGranted  = "granted"  // the token may be used once
	StateRunning  = "running"  // repeatable, and sent to Agent as RequestID
	StateDone     = "done"     // Status, ContentType and Answer are the outcome
	StateUnknown  = "unknown"  // claimed, but the outcome is unknown: never executed again
	StateMismatch = "mismatch" // same key with a different body
	StateRefused  = "refused"  // not claimed: the platform is down or the budget exhausted
)

// ServiceTarget returns the name of a plain service in Heartbeat.Models. The names of
// models there are "model@weights".
func ServiceTarget(service string) string { return "service:" + service }
