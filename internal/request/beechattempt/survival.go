package beechattempt

import (
	"context"
	"errors"
	"net/netip"
	"syscall"

	"github.com/beechring/beechring/internal/decision/beechsurvival"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechplace"
)

// lifetimes looks which processes listen at the addresses of servers.
type lifetimes struct {
	placer  *beechplace.Placer
	backend beechcall.Backend
	prober  Prober
}

// Look implements beechsurvival.Prober. Of a server that does not say who it is only its listener is known.
func (l lifetimes) Look(ctx context.Context, peer netip.AddrPort) (beechsurvival.Lifetime, error) {
	if service, ok := l.placer.ServiceAt(peer); ok {
		found, err := l.backend.Identify(ctx, peer, service)
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			return found, err
		}
	}
	return beechsurvival.Lifetime{}, l.prober.Probe(ctx, peer)
}
