package beechplace

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/request/beechcall"
)

// A fleet has two KV cache stores. If each gate chose its own store for a part, gates would
// look for parts where others have not saved them, and prefill them again.
func TestGatesAgreeOnKVStore(t *testing.T) {
	is := is.New(t)
	other := netip.MustParseAddrPort("10.9.0.2:80")
	used := map[netip.AddrPort]int{}
	for i := range 40 {
		call := newCall(fmt.Sprint("h", i), 6300, 900)
		var stores []netip.AddrPort
		for range 5 { // gates
			f := newFleet(2)
			f.SetConfiguration(&beechcall.Configuration{Services: map[string]beechcall.Service{
				"llm": {Name: "llm"}, "one": {Name: "one", KVStore: kvStoreAddress}, "two": {Name: "two", KVStore: other},
			}})
			f.reportAll(nil)
			c := f.choose(t, call)
			is.Equal(c.Fetch, c.Save)
			stores = append(stores, c.Save)
			f.KVStoreFailed(c.Save)
			is.True(!f.choose(t, call).Fetch.IsValid()) // the other store holds other parts
		}
		for _, store := range stores {
			is.Equal(store, stores[0])
		}
		used[stores[0]]++
	}
	is.True(used[kvStoreAddress] > 10 && used[other] > 10) // both links are used
}

// Beyond this gate's share of the store's link, engines fetch from one another and nothing
// more is saved.
func TestStoreLinkShareLimitsSaves(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.SetConfiguration(&beechcall.Configuration{Services: map[string]beechcall.Service{
		"llm": {Name: "llm", TokenBytes: 1000}, "kept": {Name: "kept", KVStore: kvStoreAddress, KVStoreRate: 50 * 1000 / linkShare}, // 25 tokens per millisecond for each gate
	}})
	f.SetGates(2)
	f.reportAll(nil)
	saved := 0
	for i := range 20 {
		call := newCall(fmt.Sprint("s", i), 6000, 1000)
		c := f.choose(t, call)
		f.StartAttempt(call, c).Done(Answered)
		if c.Save.IsValid() {
			saved++
		}
	}
	is.Equal(saved, 1) // a burst of 7,500 tokens
	f.clock.Advance(time.Second)
	f.reportAll(nil)
	is.True(f.choose(t, newCall("later", 6000, 1000)).Save.IsValid())
}

// Sixty-eight gates share a store's link, so the share of each in a burst interval is half a
// prompt. Limited to that, the second of two consecutive histories would be prefilled again
// although the store has it and the link is idle.
func TestSmallLinkShareAllowsBurst(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.SetConfiguration(&beechcall.Configuration{Services: map[string]beechcall.Service{
		"llm": {Name: "llm", TokenBytes: 1000}, "kept": {Name: "kept", KVStore: kvStoreAddress, KVStoreRate: 550000}, // 550 tokens per millisecond
	}})
	f.SetGates(68)
	f.reportAll(nil)
	for i := range 200 { // lets the placer learn the prompt size
		call := newCall(fmt.Sprint("warm", i), 6000, 1000)
		f.StartAttempt(call, f.choose(t, call)).Done(Answered)
		f.clock.Advance(time.Second)
	}
	f.reportAll(nil)
	fetched := 0
	for i := range 8 {
		call := newCall(fmt.Sprint("s", i), 6000, 1000)
		c := f.choose(t, call)
		f.StartAttempt(call, c).Done(Answered)
		if c.Fetch == kvStoreAddress {
			fetched++
		}
	}
	is.True(fetched >= 3)
	is.True(fetched <= 5) // bursts of all gates at once would congest the link
}

// The store's link is congested and fetches are two seconds late. Requests that fetch a
// hundred tokens would wait as long as long prompts and occupy the engines, which causes more
// fetches, so that the congestion outlasts the burst that began it. Short prompts must be
// prefilled at once instead, and long ones avoid the link until transfers are in time again.
func TestCongestedStoreLinkIsAvoided(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.SetConfiguration(&beechcall.Configuration{Services: map[string]beechcall.Service{
		"llm": {Name: "llm", TokenBytes: 1000}, "kept": {Name: "kept", KVStore: kvStoreAddress, KVStoreRate: 100000}, // 100 tokens per millisecond
	}})
	run := func(name string, shared int, first time.Duration) Choice {
		call := newCall(name, shared, 100)
		c := f.choose(t, call)
		attempt := f.StartAttempt(call, c)
		f.clock.Advance(first)
		attempt.FirstByte()
		attempt.Done(Answered)
		return c
	}
	is.Equal(run("small-0", 120, 20*time.Millisecond).Fetch, kvStoreAddress)
	is.Equal(run("long-0", 6000, 200*time.Millisecond).Fetch, kvStoreAddress)
	for i := range 8 {
		run(fmt.Sprint("long-late-", i), 6000, 2500*time.Millisecond)
	}
	is.True(!run("small-1", 120, 20*time.Millisecond).Fetch.IsValid())
	fetched := 0
	for i := range 40 {
		if run(fmt.Sprint("long-then-", i), 6000, 10*time.Millisecond).Fetch == kvStoreAddress {
			fetched++
		}
	}
	is.True(fetched < 10) // 40 would be 600 tokens per millisecond
	for i := range 200 {
		run(fmt.Sprint("long-soon-", i), 6000, 400*time.Millisecond)
	}
	is.Equal(run("small-2", 120, 20*time.Millisecond).Fetch, kvStoreAddress)
}
