package beechlink

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Many callers arrive at an entry host at the same moment, as in every busy
// second. Two streams that were numbered in one order and sent in the other
// made the agent close the connection, and every caller on it lost its answer.
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
