package beechwire

import "testing"

// BenchmarkChanges encodes and decodes an agent's reply to ChangesAsk.
func BenchmarkChanges(b *testing.B) {
	const count = 4
	changes := Changes{Incarnation: 1 << 60, Next: 1 << 30}
	for i := range count {
		key := make([]byte, 16)
		key[0] = byte(i)
		changes.List = append(changes.List, Change{Key: key, Tokens: 5800, Held: true})
	}
	var data []byte
	for b.Loop() {
		var err error
		if data, err = changes.MarshalMsg(data[:0]); err != nil {
			b.Fatal(err)
		}
		var got Changes
		if _, err := got.UnmarshalMsg(data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "B/answer")
	b.ReportMetric(float64(len(data))/count, "B/change")
}

// BenchmarkMembers encodes the list of processes that an entry host stores at agents.
func BenchmarkMembers(b *testing.B) {
	const count = 400
	var state Snapshot
	for range count {
		state.Members = append(state.Members, Member{Address: "10.12.13.114:7100", Role: RoleAgent, Zone: "region-1-zone-12", Incarnation: 1 << 60})
	}
	var data []byte
	for b.Loop() {
		var err error
		if data, err = state.MarshalMsg(data[:0]); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data))/count, "B/member")
}
