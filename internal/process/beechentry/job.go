package beechentry

import (
	"net/netip"
	"time"

	"github.com/beechring/beechring/internal/decision/beechroute"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/prompt/beechprefix"
	"github.com/beechring/beechring/internal/state/beechmanifest"
)

type (
	// job is one caller's request on its way through the entry.
	job struct {
		configuration *beechmanifest.Configuration
		workspace     *beechmanifest.Workspace
		prompt        *beechprefix.Prompt // nil for plain services
		chain         beechprefix.Chain
		request       beechwire.Request
		body          []byte
		callSum       []byte // what repeats under the idempotency key must share
		timeout       time.Duration
		deadline      time.Time // zero is none
		began         time.Time
		lastEventID   string
		resumable     bool // the text so far is all an engine needs to go on
		writer        answerWriter

		// what the attempts have brought
		attach     *placed                // join this generation first
		recorded   *beechwire.ClaimAnswer // the outcome of an earlier run, to be given again
		tried      []netip.AddrPort
		preferred  netip.AddrPort
		sequence   uint64 // of the last piece taken
		text       []byte // given so far, for a resume
		ended      bool   // the finish reason was given
		firstToken time.Duration
		usage      beechwire.Usage
		reachable  int    // least uncached tokens predicted at any candidate
		sentTo     placed // by this attempt; none where nothing was sent
		unfollowed bool   // its caller left, or its link was lost, before its end
		ran        string // what is known of earlier attempts; empty is nothing
	}

	// placed names a generation at an agent.
	placed struct {
		agent       netip.AddrPort
		incarnation uint64
		requestID   string
	}
)

// routeRequest puts the job into the router's terms.
func (j *job) routeRequest() beechroute.Request {
	return beechroute.Request{
		Model:        j.target(),
		Levels:       j.routeLevels(),
		PromptTokens: j.request.PromptTokens,
		OutputTokens: j.request.OutputTokens,
		Avoid:        j.tried,
	}
}

// target is what a server must offer to run the job.
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

// remaining is what is left of the caller's deadline in milliseconds; 0 is no
// deadline.
func (j *job) remaining(now time.Time) int64 {
	if j.deadline.IsZero() {
		return 0
	}
	return max(1, j.deadline.Sub(now).Milliseconds())
}

// missesText tells whether the caller has events of an earlier answer whose text
// is not known here.
func (j *job) missesText() bool {
	s, streamed := j.writer.(*streamWriter)
	return streamed && s.skip > 0 && (!j.resumable || j.sequence < s.skip)
}

// startOver prepares for another attempt: a resumable answer goes on after what
// the caller has, any other is given from its beginning.
func (j *job) startOver() {
	j.sentTo = placed{}
	j.writer.restart()
	if !j.resumable {
		j.sequence = 0
		j.text = nil
	}
}
