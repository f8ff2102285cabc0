package beechgate

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechquota"
	"github.com/beechring/beechring/internal/request/beechcall"
)

const quotaGates = 6

var quotaLimits = map[string]beechquota.Limit{"w": {Rate: 60, Burst: 60}}

// newQuotaGate returns a gate that only decides on quotas.
func newQuotaGate(i int, bounds beechquota.Bounds) *Gate {
	clock := clockwork.NewRealClock()
	g := &Gate{clock: clock, quotas: beechquota.New(fmt.Sprint("gate-", i), uint64(i+1), bounds, clock), usageDue: make(chan struct{}, 1)}
	g.returns = newReturns(g)
	return g
}

// quotaCall returns a call that counts as one request.
func quotaCall(objective time.Duration) *beechcall.Call {
	return &beechcall.Call{Workspace: beechcall.Workspace{Name: "w"}, Route: &beechcall.Route{Objective: objective}}
}

// Gates start, and four of them serve a waiting caller each before they hear one another. The next
// caller must wait for the moment until its request is covered, and not be refused.
func TestStartingGateThatHasHeardOthersWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var gates []*Gate
		for i := range quotaGates {
			g := newQuotaGate(i, beechquota.Bounds{})
			g.quotas.SetGates(quotaGates)
			g.quotas.SetLimits(quotaLimits, nil)
			gates = append(gates, g)
		}
		time.Sleep(62 * time.Millisecond)
		call := quotaCall(100 * time.Millisecond)
		for _, g := range gates[:4] {
			_, admitted := g.admitQuota(t.Context(), call).(beechquota.Admitted)
			is.True(admitted)
		}
		for _, g := range gates[1:] {
			gates[0].quotas.ApplyUpdate(g.quotas.NextUpdate())
		}
		began := time.Now()
		_, admitted := gates[0].admitQuota(t.Context(), call).(beechquota.Admitted)
		is.True(admitted)
		is.True(time.Since(began) <= 50*time.Millisecond)
	})
}

// A gate that hears no others never settles. A caller beyond the quota must be refused at once
// there, and not be held while nothing changes.
func TestGateThatHearsNobodyRefusesAtOnce(t *testing.T) {
	for name, heard := range map[string]bool{"only gate": false, "cut off": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g, peer := newQuotaGate(0, beechquota.Bounds{}), newQuotaGate(1, beechquota.Bounds{})
				g.quotas.SetGates(1)
				if heard {
					g.quotas.SetGates(2)
					g.quotas.ApplyUpdate(peer.quotas.NextUpdate())
				}
				g.quotas.SetLimits(quotaLimits, nil)
				time.Sleep(10 * time.Second)
				for admitted := true; admitted; {
					_, admitted = g.quotas.Admit("w", 1).(beechquota.Admitted)
				}
				began := time.Now()
				_, refused := g.admitQuota(t.Context(), quotaCall(time.Second)).(beechquota.Refused)
				is.True(refused)
				is.Equal(time.Since(began), time.Duration(0))
			})
		})
	}
}
