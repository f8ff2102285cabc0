package beechgate

import (
	"context"
	"expvar"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechorigin"
	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/state/beechmirror"
)

type (
	// versionProver proves that a service has had one version of its software only. It is safe for concurrent use.
	versionProver struct {
		versions *beechorigin.Versions
		servers  *beechmirror.Mirror // the list of servers
		clock    clockwork.Clock
		log      *zap.Logger
		outcomes *expvar.Map // of reads
		reads    catchUps
	}

	// catchUps shares reads of the store among the calls that wait for one. It is safe for concurrent use.
	catchUps struct {
		mu      sync.Mutex
		next    *catchUp // has not begun
		running bool
	}

	catchUp struct {
		done chan struct{}
		err  error
	}
)

const (
	// catchUpTimeout bounds what a caller waits for the store; usually it answers within milliseconds.
	catchUpTimeout = 200 * time.Millisecond
	// catchUpPause and failedCatchUpPause bound the calls to the store while many streams are taken up.
	catchUpPause       = 20 * time.Millisecond
	failedCatchUpPause = 150 * time.Millisecond
	// maxProvers is the number of gates that are asked for a proof, each of which reads the store for it.
	maxProvers = 3
)

// wait returns the result of a read that begins after the call.
func (c *catchUps) wait(ctx context.Context, clock clockwork.Clock, read func() error) error {
	c.mu.Lock()
	if c.next == nil {
		c.next = &catchUp{done: make(chan struct{})}
	}
	mine := c.next
	if !c.running {
		c.running = true
		go c.run(clock, read)
	}
	c.mu.Unlock()
	select {
	case <-mine.done:
		return mine.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run reads until nobody waits.
func (c *catchUps) run(clock clockwork.Clock, read func() error) {
	for {
		c.mu.Lock()
		current := c.next
		c.next, c.running = nil, current != nil
		c.mu.Unlock()
		if current == nil {
			return
		}
		current.err = read()
		close(current.done)
		if current.err != nil {
			clock.Sleep(failedCatchUpPause)
			continue
		}
		clock.Sleep(catchUpPause)
	}
}

// catchUp reads what has changed in the list of servers up to now, in a read that begins after the call.
func (p *versionProver) catchUp(ctx context.Context) error {
	limited, cancel := clockwork.WithTimeout(ctx, p.clock, catchUpTimeout)
	defer cancel()
	return p.reads.wait(limited, p.clock, func() error {
		limited, cancel := clockwork.WithTimeout(context.Background(), p.clock, catchUpTimeout)
		defer cancel()
		err := p.servers.CatchUp(limited)
		if err != nil {
			p.outcomes.Add("failed", 1)
			p.log.Info("changes of servers not read", zap.Error(err))
			return err
		}
		p.outcomes.Add("read", 1)
		return nil
	})
}

// prove returns the version of a service's software if no stream of another version can have begun before the call and
// still be resumed. A list that was read before the call proves nothing: a version may have joined since, and may have
// begun the stream that the caller asks for.
func (p *versionProver) prove(ctx context.Context, service string) (string, bool) {
	if _, ok := p.versions.Only(service); !ok {
		return "", false
	}
	if p.catchUp(ctx) != nil {
		return "", false
	}
	if age, _ := p.servers.HistoryAge(); age < p.versions.Lifetime() {
		return "", false
	}
	return p.versions.Only(service)
}

// observeChanges records the versions in changes of the list of servers, also those of servers that are gone again.
func (g *Gate) observeChanges(items []beechmirror.Item) {
	var written []beechmirror.Item
	for _, item := range items {
		if !item.Removed {
			written = append(written, item)
		}
	}
	servers, _ := g.deps.Servers(written) // setServers reports invalid entries
	for _, s := range servers {
		if g.origins.versions.Heard(s.Service, s.Software) {
			g.versionAppeared(s.Service)
		}
	}
}

// receiveProve answers a gate that cannot prove by itself that a service has had one version only.
func (g *Gate) receiveProve(from netip.AddrPort, m beechdatagram.Prove) {
	if !g.isGateOrFormer(from) {
		return
	}
	if g.origins.proving.Add(1) > maxQueriesInFlight {
		g.origins.proving.Add(-1)
		return
	}
	go func() {
		defer g.origins.proving.Add(-1)
		answer := &beechwire.Sole{Number: m.Number, Service: m.Service}
		answer.Software, _ = g.prover.prove(context.Background(), m.Service)
		answer.Others = len(g.origins.versions.Recent(m.Service)) > 1
		g.sendTo(from, beechdatagram.Sole{Sole: answer})
	}()
}

func (g *Gate) receiveSole(from netip.AddrPort, m beechdatagram.Sole) {
	g.origins.answer(m.Number, originAnswer{from: from, proof: true, known: m.Software != "", others: m.Others, origin: beechorigin.Origin{Service: m.Service, Software: m.Software}})
}
