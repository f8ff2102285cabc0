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
	who    Lifetime // that listens
	count  int
	begun  chan struct{} // gets a value as each look begins, if there is one
	end    chan struct{} // each look waits for a value, if there is one
}

var errNoAnswer = errors.New("i/o timeout")

func (l *looks) Look(context.Context, netip.AddrPort) (Lifetime, error) {
	l.mu.Lock()
	found := l.script[min(l.count, len(l.script)-1)]
	l.count++
	l.mu.Unlock()
	if l.begun != nil {
		l.begun <- struct{}{}
		<-l.end
	}
	return l.who, found
}

var server = netip.MustParseAddrPort("10.1.0.30:8468")

func check(script ...error) error {
	c := New(&looks{script: script}, clockwork.NewRealClock())
	return c.Check(server, Lifetime{}, time.Now().Add(time.Minute))
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
	is.Equal(s.Check(server, Lifetime{}, began.Add(100*time.Millisecond)), ErrUnknown)
	is.True(time.Since(began) < patience)
}

// Guards against half of an answer that is taken for whole since another process listens at its server's address.
func TestAnotherProcessAtTheAddressProvesNothing(t *testing.T) {
	answered := Lifetime{ID: "i-1", Born: 5000}
	for name, test := range map[string]struct {
		listens Lifetime
		answer  Lifetime
		looks   int
		result  error
	}{
		"the same process":                     {Lifetime{ID: "i-1", Born: 5000}, answered, 1, nil},
		"listed with a later start":            {Lifetime{Born: 4990}, answered, 1, nil},
		"it has started again under its ID":    {Lifetime{ID: "i-1", Born: 6000}, answered, 1, ErrExited},
		"another one that says its start only": {Lifetime{Born: 6000}, answered, 1, ErrExited},
		"another one that says its ID only":    {Lifetime{ID: "i-2"}, answered, 1, ErrExited},
		"an ID may come again":                 {Lifetime{ID: "i-1"}, answered, requiredLooks, nil},
		"nothing is known of it":               {Lifetime{}, answered, requiredLooks, nil},
		"nothing is known of the server":       {Lifetime{ID: "i-2", Born: 6000}, Lifetime{}, requiredLooks, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			prober := &looks{script: []error{nil}, who: test.listens}
			is.Equal(New(prober, clockwork.NewRealClock()).Check(server, test.answer, time.Now().Add(time.Minute)), test.result)
			is.Equal(prober.count, test.looks)
		})
	}
}

// Guards against a look at a server that proves the survival of answers which ended after it.
func TestLookBeforeTheEndOfAnAnswerProvesNothing(t *testing.T) {
	is := is.New(t)
	prober := &looks{script: []error{nil, nil, syscall.ECONNREFUSED}, begun: make(chan struct{}), end: make(chan struct{})}
	s := New(prober, clockwork.NewRealClock())
	start := func() chan error {
		result := make(chan error, 1)
		go func() { result <- s.Check(server, Lifetime{}, time.Now().Add(time.Minute)) }()
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
		answers.Go(func() { is.Equal(s.Check(server, Lifetime{}, time.Now().Add(time.Minute)), nil) })
		time.Sleep(time.Millisecond)
	}
	answers.Wait()
	is.True(prober.count <= int(time.Since(began)/lookInterval)+2)
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(len(s.waiting), 0)
}
