package beechsurvival

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
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

func check(script ...error) error {
	c := New(&looks{script: script}, clockwork.NewRealClock())
	return c.Check(server, time.Now().Add(time.Minute))
}

// Guards against half of an answer that is taken for whole without proof that its server has survived.
func TestSurvivalOfAnUnframedAnswer(t *testing.T) {
	is := is.New(t)
	refused, reset := syscall.ECONNREFUSED, syscall.ECONNRESET
	is.Equal(check(nil), nil)
	is.Equal(check(refused), ErrExited)
	is.Equal(check(nil, refused), ErrExited)         // its listener was closed last
	is.Equal(check(reset, refused), ErrExited)       // the listener was closed with the connection in its queue
	is.Equal(check(reset), nil)                      // it has too many connections
	is.Equal(check(errNoAnswer, nil), nil)           // it was silent for a moment
	is.Equal(check(errNoAnswer, refused), ErrExited) // it was restarted meanwhile
	is.Equal(check(nil, errNoAnswer, nil), nil)      // a lost packet
	began := time.Now()
	is.Equal(check(errNoAnswer), ErrUnknown)
	is.True(time.Since(began) >= patience)
	s := New(&looks{script: []error{errNoAnswer}}, clockwork.NewRealClock())
	began = time.Now()
	is.Equal(s.Check(server, began.Add(100*time.Millisecond)), ErrUnknown)
	is.True(time.Since(began) < patience)
}

// Guards against a look at a server that proves the survival of answers which ended after it.
func TestLookBeforeTheEndOfAnAnswerProvesNothing(t *testing.T) {
	is := is.New(t)
	prober := &looks{script: []error{nil, nil, syscall.ECONNREFUSED}, begun: make(chan struct{}), end: make(chan struct{})}
	s := New(prober, clockwork.NewRealClock())
	start := func() chan error {
		result := make(chan error, 1)
		go func() { result <- s.Check(server, time.Now().Add(time.Minute)) }()
		return result
	}
	first := start()
	<-prober.begun
	prober.end <- struct{}{}
	<-prober.begun // the second look, which is the first answer's last
	second := start()
	for waiting := 0; waiting == 0; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		waiting = len(s.waiting[server])
		s.mu.Unlock()
	}
	prober.end <- struct{}{}
	is.Equal(<-first, nil)
	<-prober.begun
	prober.end <- struct{}{}
	is.Equal(<-second, ErrExited)
}

// Guards against looks at servers that grow with their answers.
func TestAnswersShareLooks(t *testing.T) {
	is := is.New(t)
	prober := &looks{script: []error{nil}}
	s := New(prober, clockwork.NewRealClock())
	var answers sync.WaitGroup
	began := time.Now()
	for range 200 {
		answers.Go(func() { is.Equal(s.Check(server, time.Now().Add(time.Minute)), nil) })
		time.Sleep(time.Millisecond)
	}
	answers.Wait()
	is.True(prober.count <= int(time.Since(began)/lookInterval)+2)
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(len(s.waiting), 0)
}
