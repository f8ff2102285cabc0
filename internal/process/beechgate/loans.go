package beechgate

import (
	"net/netip"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
)

// lender returns the gate that lends the retries of this zone.
func (g *Gate) lender() (netip.AddrPort, bool) {
	collectors := g.topology.Load().Collectors[g.settings.Zone]
	if len(collectors) == 0 {
		return netip.AddrPort{}, false
	}
	return collectors[0], true
}

// askForLoan asks the lender of this zone for retries.
func (g *Gate) askForLoan(service string, wanted int) {
	lender, ok := g.lender()
	switch {
	case !ok:
		g.budgets.AddLoan(service, 0)
	case lender == g.members.Self():
		g.budgets.AddLoan(service, g.lend(service, wanted))
	default:
		message := beechdatagram.Borrow{Borrow: &beechwire.Borrow{Service: service, Wanted: wanted}}
		if err := g.socket.Send(lender, beechdatagram.SameZone, message); err != nil {
			g.log.Debug("send to gate failed", zap.Error(err))
		}
	}
}

func (g *Gate) lend(service string, wanted int) int {
	pool, window := g.budgets.Pool(len(g.topology.Load().Neighbors) + 1)
	count := g.loans.Lend(service, min(wanted, loanWanted), pool, window)
	g.metrics.lent.Add(int64(count))
	return count
}

// receiveBorrow lends retries to a gate of this zone.
func (g *Gate) receiveBorrow(from netip.AddrPort, m beechdatagram.Borrow) {
	if !g.isKnownGate(from) || g.scopeToGate(from) != beechdatagram.SameZone {
		return
	}
	if c := g.configuration.Load(); c == nil || c.Services[m.Service].Name == "" {
		return
	}
	loan := beechdatagram.Loan{Loan: &beechwire.Loan{Service: m.Service, Count: g.lend(m.Service, m.Wanted)}}
	g.sendToPeers([]netip.AddrPort{from}, loan)
}

func (g *Gate) receiveLoan(from netip.AddrPort, m beechdatagram.Loan) {
	if lender, ok := g.lender(); ok && from == lender {
		g.budgets.AddLoan(m.Service, max(m.Count, 0))
	}
}
