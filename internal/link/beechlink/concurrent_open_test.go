package beechlink

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Guards against streams whose ids are assigned in one order and sent in
// another, which can happen when many callers open streams at the same time.
// The agent then closed the connection, and all callers on it lost their
// answers.
func TestConcurrentOpensOnOneConnection(t *testing.T) {
	const callers, each = 64, 50
	is := is.New(t)
	p := newPair(t, Settings{Connections: 1}, handlerFuncs{open: echo})
	var wait sync.WaitGroup
	failures := make(chan error, callers*each)
	for caller := range callers {
		wait.Go(func() {
			for number := range each {
				s, err := p.client.Open(context.Background(), request(fmt.Sprintf("r-%d-%d", caller, number)), []byte("body"))
				if err == nil {
					_, _, err = collect(context.Background(), s)
				}
				if err != nil {
					failures <- err
				}
			}
		})
	}
	wait.Wait()
	close(failures)
	for err := range failures {
		is.NoErr(err)
	}
	is.Equal(p.server.Counters().Malformed, uint64(0))
}
