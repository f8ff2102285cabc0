package beechrecord

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/beechring/beechring/internal/state/beechmember"
)

type (
	// Key is an idempotency key. Keys of different workspaces are independent.
	Key struct {
		Workspace string
		Name      string
	}

	// BodySum is the SHA-256 of a request's body.
	BodySum [sha256.Size]byte

	keyID [16]byte

	// Answer is the result of a claim: Granted, Done, Unknown, Mismatch or
	// Refused.
	Answer interface{ answer() }

	// Granted permits the caller to run the request once. Token identifies the
	// run when its outcome is recorded.
	Granted struct{ Token string }

	// Done means that the request has already run, and carries its answer.
	// Complete is false if the body was too large to store; Body is then
	// empty.
	Done struct {
		RequestID   string // of the request that ran
		Status      int
		ContentType string
		Body        []byte
		Complete    bool
	}

	// Unknown means that the request was claimed before, by RequestID, and
	// that its outcome is not known: it may have run, be running or not have
	// run. It is not run again.
	Unknown struct {
		RequestID string
		Err       error // why the outcome could not be determined; may be nil
	}

	// Mismatch means that the key was used before with a different body. The
	// new request is not run.
	Mismatch struct{ RequestID string }

	// Refused means that no claim was made, so the request must not be run.
	// After is the time to wait before trying again.
	Refused struct {
		After time.Duration
		Err   error
	}

	// Outcome is the result of a granted request: Ran or NotRun.
	Outcome interface{ outcome() }

	// Ran is the outcome of a request that ran. Repeats get this answer.
	Ran struct {
		Status      int
		ContentType string
		Body        []byte
	}

	// NotRun is the outcome of a granted request that provably did not run.
	// Its key may be claimed again with the same body.
	NotRun struct{}

	// Claimer is the part of Records that agents use.
	Claimer interface {
		Claim(ctx context.Context, key Key, body BodySum, requestID string) Answer
		Finish(ctx context.Context, key Key, token string, o Outcome) error
	}

	// Settings configures Records. Zero fields get the defaults given after
	// the semicolons.
	Settings struct {
		Shards       int           // number of shards, the same in all processes; 4
		Window       time.Duration // how long claims are collected for one write; 3 ms
		Pace         time.Duration // minimum time between two batches of a shard; 5 ms times Shards
		MaxBatch     int           // maximum claims in one write; 512
		MaxWaiting   int           // maximum queued claims of a shard, more are refused; 4096
		CallTimeout  time.Duration // time limit of a batch; 2 s
		SegmentBytes int           // size at which a segment is closed; 128 KB
		SegmentAge   time.Duration // age at which a segment is closed; 1 h
		Retention    time.Duration // how long a segment is kept after it was closed; 24 h
		AnswerBytes  int           // maximum size of a stored answer body; 4 KB
	}
)

const (
	// With this pace per shard, all shards of a process together start at most
	// 200 batches a second, half of the writes that the service accepts,
	// whatever the number of shards and the rate of claims. A single claim
	// that finds the shard idle waits only for Settings.Window.
	defaultPacePerShard = 5 * time.Millisecond
	defaultShards       = 4
	defaultWindow       = 3 * time.Millisecond
	defaultMaxBatch     = 512
	defaultMaxWaiting   = 4096
	defaultCallTimeout  = 2 * time.Second
	defaultSegmentBytes = 128 << 10
	defaultSegmentAge   = time.Hour
	defaultRetention    = 24 * time.Hour
	defaultAnswerBytes  = 4 << 10
)

// String returns the key's hash in hex, for errors. The key itself may be
// private.
func (k Key) String() string { return k.id().String() }

// Shard returns the shard of the key, out of the given number of shards.
func (k Key) Shard(shards int) int {
	id := k.id()
	return int(binary.BigEndian.Uint64(id[:]) % uint64(shards))
}

// id returns the first 16 bytes of a SHA-256 hash. A non-cryptographic hash
// would let one workspace search for keys that collide with another
// workspace's keys, and so have that workspace's requests refused.
func (k Key) id() keyID {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(k.Workspace)) + ":" + k.Workspace + k.Name))
	return keyID(sum[:len(keyID{})])
}

func (id keyID) String() string { return hex.EncodeToString(id[:]) }

// Owner returns the agent to ask for claims of a shard. Processes with the
// same members choose the same agent. If their members differ, claims become
// slower but stay safe.
func Owner(shard int, members []netip.AddrPort) netip.AddrPort {
	return beechmember.Highest(fmt.Sprintf("record/%d", shard), members)
}

func (Granted) answer()  {}
func (Done) answer()     {}
func (Unknown) answer()  {}
func (Mismatch) answer() {}
func (Refused) answer()  {}

func (Ran) outcome()    {}
func (NotRun) outcome() {}
