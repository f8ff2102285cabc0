package beechagent

import (
	"context"
	"net"
	"net/netip"
)

// dialer opens connections to the backend server to find out whether it lives.
type dialer struct{}

// Probe implements beechsurvival.Prober.
func (dialer) Probe(ctx context.Context, peer netip.AddrPort) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		return err
	}
	return c.Close()
}
