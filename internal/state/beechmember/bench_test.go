package beechmember

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/state/beechstore"
)

func manyHosts(n int) []beechstore.Host {
	hosts := make([]beechstore.Host, n)
	for i := range hosts {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7100)
		hosts[i] = beechstore.Host{Name: fmt.Sprint("engine-host-", i), Address: address, Zone: fmt.Sprint("region-1-zone-", i%33), Role: "agent"}
	}
	return hosts
}

// BenchmarkHostList measures the platform's host list of 12,450 hosts:
// decoding it, applying it, and listing the members.
func BenchmarkHostList(b *testing.B) {
	hosts := manyHosts(12_450)
	lines := make([]beechstore.WireHost, 0, len(hosts))
	for _, h := range hosts {
		lines = append(lines, h.Wire())
	}
	data, err := json.Marshal(lines)
	if err != nil {
		b.Fatal(err)
	}
	m := New(clockwork.NewRealClock(), Settings{})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			var got []beechstore.WireHost
			if err := json.Unmarshal(data, &got); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data))/float64(len(hosts)), "B/host")
	})
	b.Run("listed", func(b *testing.B) {
		for b.Loop() {
			m.UpdateHosts(hosts)
		}
	})
	b.Run("members", func(b *testing.B) {
		for b.Loop() {
			m.Members()
		}
	})
}
