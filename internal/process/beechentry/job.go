package beechentry

import (
	"net/netip"
	"time"

	"github.com/beechring/beechring/internal/decision/beechroute"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechbody"
	"github.com/beechring/beechring/internal/prompt/beechprefix"
	"github.com/beechring/beechring/internal/state/beechmanifest"
)

type (
	// job is one caller's request and its state while the entry handles it.
	job struct {
		configuration *beechmanifest.Configuration
		workspace     *beechmanifest.Workspace
		prompt        *beechprefix.Prompt // nil for plain services
		chain         beechprefix.Chain
		request       beechwire.Request
		body          []byte
		held          *beechbody.Body // memory of the body
		callHash      []byte          // must be equal for repeats under the idempotency key
		timeout       time.Duration
		deadline      time.Time // zero: none
		startedAt     time.Time
		lastEventID   string
		resumable     bool // an engine can continue from the text so far alone
		writer        answerWriter

		// state carried from attempt to attempt
		joinTarget       *generationRef         // generation to join in the next attempt
		recorded         *beechwire.ClaimAnswer // outcome of an earlier run, to be replayed
		tried            []netip.AddrPort
		preferred        netip.AddrPort
		sequence         uint64 // of the last piece received
		text             []byte // received so far, for a resume
		finishReasonSeen bool
		firstToken       time.Duration
		usage            beechwire.Usage
		minUncached      int           // fewest uncached tokens predicted at any candidate
		sentTo           generationRef // by this attempt; zero if nothing was sent
		outcomePending   bool          // the caller left or the link was lost before the answer ended
		ran              string        // whether earlier attempts ran; empty: nothing is known
	}

	// generationRef identifies a generation at an agent.
	generationRef struct {
		agent       netip.AddrPort
		incarnation uint64
		requestID   string
	}
)

// routeRequest converts the job for the router.
func (j *job) routeRequest() beechroute.Request {
	return beechroute.Request{
		Model:        j.target(),
		Levels:       j.routeLevels(),
		PromptTokens: j.request.PromptTokens,
		OutputTokens: j.request.OutputTokens,
		Avoid:        j.tried,
	}
}

// target names what a server must offer to run the job.
func (j *job) target() string {
	if j.request.Service != "" {
		return beechwire.ServiceTarget(j.request.Service)
	}
	return j.request.Model + "@" + j.request.Weights
}

func (j *job) routeLevels() []beechroute.Level {
	out := make([]beechroute.Level, len(j.chain.Levels))
	for i, l := range j.chain.Levels {
		out[i] = beechroute.Level(l)
	}
	return out
}

// remaining returns the milliseconds left until the caller's deadline, at least
// 1; 0 means no deadline.
func (j *job) remaining(now time.Time) int64 {
	if j.deadline.IsZero() {
		return 0
	}
	return max(1, j.deadline.Sub(now).Milliseconds())
}

// lacksEarlierText reports whether the caller has events of an earlier answer
// whose text is not known here.
func (j *job) lacksEarlierText() bool {
	s, streamed := j.writer.(*streamWriter)
	return streamed && s.skipThrough > 0 && (!j.resumable || j.sequence < s.skipThrough)
}

// resetForAttempt prepares for another attempt: a resumable answer continues
// after what the caller has, any other starts from its beginning.
func (j *job) resetForAttempt() {
	j.sentTo = generationRef{}
	j.writer.restart()
	if !j.resumable {
		j.sequence = 0
		j.text = nil
	}
}
