package beechattempt

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/request/beechcall"
)

// looks is a prober whose looks find what a script says, the last entry for all later ones.
type looks struct {
	mu     sync.Mutex
	script []error
	count  int
	begun  chan struct{} // gets a value as each look begins, if there is one
	end    chan struct{} // each look waits for a value, if there is one
}

var errNoAnswer = errors.New("i/o timeout")

func (l *looks) Probe(context.Context, netip.AddrPort) error {
	l.mu.Lock()
	found := l.script[min(l.count, len(l.script)-1)]
	l.count++
	l.mu.Unlock()
	if l.begun != nil {
		l.begun <- struct{}{}
		<-l.end
	}
	return found
}

var server = netip.MustParseAddrPort("10.1.0.30:8468")

func checkSurvival(script ...error) survival {
	s := newSurvivalChecker(&looks{script: script}, clockwork.NewRealClock())
	return s.check(server, time.Now().Add(time.Minute))
}

// A server exits or lives as its answer ends with the connection; its listener is closed a moment later,
// it has too many connections, or it is silent. What is not proved must not count as survived.
func TestSurvivalOfAnUnframedAnswer(t *testing.T) {
	is := is.New(t)
	refused, reset := syscall.ECONNREFUSED, syscall.ECONNRESET
	is.Equal(checkSurvival(nil), survived)
	is.Equal(checkSurvival(refused), exited)
	is.Equal(checkSurvival(nil, refused), exited)            // its listener was closed last
	is.Equal(checkSurvival(reset, refused), exited)          // the listener was closed with the connection in its queue
	is.Equal(checkSurvival(reset), survived)                 // it has too many connections
	is.Equal(checkSurvival(errNoAnswer, nil), survived)      // it was silent for a moment
	is.Equal(checkSurvival(errNoAnswer, refused), exited)    // it was restarted meanwhile
	is.Equal(checkSurvival(nil, errNoAnswer, nil), survived) // a lost packet
	began := time.Now()
	is.Equal(checkSurvival(errNoAnswer), unknown)
	is.True(time.Since(began) >= survivalPatience)
	s := newSurvivalChecker(&looks{script: []error{errNoAnswer}}, clockwork.NewRealClock())
	began = time.Now()
	is.Equal(s.check(server, began.Add(100*time.Millisecond)), unknown)
	is.True(time.Since(began) < survivalPatience)
}

// Many answers end while a server exits. A look that has found it before some of them ended must not
// prove that it has survived these.
func TestLookBeforeTheEndOfAnAnswerProvesNothing(t *testing.T) {
	is := is.New(t)
	prober := &looks{script: []error{nil, nil, syscall.ECONNREFUSED}, begun: make(chan struct{}), end: make(chan struct{})}
	s := newSurvivalChecker(prober, clockwork.NewRealClock())
	check := func() chan survival {
		result := make(chan survival, 1)
		go func() { result <- s.check(server, time.Now().Add(time.Minute)) }()
		return result
	}
	first := check()
	<-prober.begun
	prober.end <- struct{}{}
	<-prober.begun // the second look, which is the first answer's last
	second := check()
	for waiting := 0; waiting == 0; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		waiting = len(s.waiting[server])
		s.mu.Unlock()
	}
	prober.end <- struct{}{}
	is.Equal(<-first, survived)
	<-prober.begun
	prober.end <- struct{}{}
	is.Equal(<-second, exited)
}

// Answers of a busy server end all the time. The looks at it must not grow with them.
func TestAnswersShareLooks(t *testing.T) {
	is := is.New(t)
	prober := &looks{script: []error{nil}}
	s := newSurvivalChecker(prober, clockwork.NewRealClock())
	var answers sync.WaitGroup
	began := time.Now()
	for range 200 {
		answers.Go(func() { is.Equal(s.check(server, time.Now().Add(time.Minute)), survived) })
		time.Sleep(time.Millisecond)
	}
	answers.Wait()
	is.True(prober.count <= int(time.Since(began)/lookInterval)+2)
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(len(s.waiting), 0)
}

// A server that had said that it leaves exits while it answers. Half of an answer must not be taken for
// a whole one, since its connection ends in order.
func TestUnframedAnswerOfALeavingServerThatExits(t *testing.T) {
	for _, policy := range []beechcall.RetryPolicy{beechcall.Repeatable, beechcall.AtMostOnce} {
		is := is.New(t)
		half := unframed(answers(http.StatusOK, "half"))
		f := newFixture(2, 5, func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
			answer, err := half(ctx, a)
			answer.Leaving = true
			return answer, err
		}, answers(http.StatusOK, "whole"))
		f.dispatcher.survivals.prober = refusing{}
		c := f.serve(t.Context(), f.call(policy, false))
		if policy == beechcall.Repeatable {
			is.Equal(c.body, "whole")
			continue
		}
		_, unknown := c.rejection.(OutcomeUnknown)
		is.True(unknown)
	}
}
