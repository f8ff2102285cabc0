package beechagent

import (
	"context"
	"net"
	"net/netip"

	"github.com/beechring/beechring/internal/decision/beechsurvival"
)

// dialer opens connections to the backend server to find out whether it lives.
type dialer struct{}

// Look implements beechsurvival.Prober. Who listens is not known.
func (dialer) Look(ctx context.Context, peer netip.AddrPort) (beechsurvival.Lifetime, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		return beechsurvival.Lifetime{}, err
	}
	return beechsurvival.Lifetime{}, c.Close()
}
