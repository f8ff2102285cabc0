package beechplace

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/request/beechcall"
)

// A large fleet has two stores of kept KV cache. Gates that each save in one of
// their own choice seek what others saved where it is not, and histories are read
// again that lie in a store.
func TestGatesAgreeOnKVStore(t *testing.T) {
	is := is.New(t)
	other := netip.MustParseAddrPort("10.9.0.2:80")
	used := map[netip.AddrPort]int{}
	for i := range 40 {
		call := newCall(fmt.Sprint("h", i), 6300, 900)
		var places []netip.AddrPort
		for range 5 { // gates
			f := newFleet(2)
			f.SetConfiguration(&beechcall.Configuration{Services: map[string]beechcall.Service{
				"llm": {Name: "llm"}, "one": {Name: "one", KVStore: kvStoreAddress}, "two": {Name: "two", KVStore: other},
			}})
			f.reportAll(nil)
			c := f.choose(t, call)
			is.Equal(c.Fetch, c.Save)
			places = append(places, c.Save)
			f.KVStoreFailed(c.Save)
			is.True(!f.choose(t, call).Fetch.IsValid()) // what the other store holds is others'
		}
		for _, place := range places {
			is.Equal(place, places[0])
		}
		used[places[0]]++
	}
	is.True(used[kvStoreAddress] > 10 && used[other] > 10) // both links carry
}

// The link of the store of kept KV cache carries what it can. Beyond this gate's
// share of it engines fetch from one another, and nothing more is saved.
func TestStoreLinkShareLimitsSaves(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.SetConfiguration(&beechcall.Configuration{Services: map[string]beechcall.Service{
		"llm": {Name: "llm", TokenBytes: 1000}, "kept": {Name: "kept", KVStore: kvStoreAddress, KVStoreRate: 50 * 1000 / linkShare}, // 25 tokens in a millisecond a gate
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
	is.Equal(saved, 1) // a lump of 7,500 tokens
	f.clock.Advance(time.Second)
	f.reportAll(nil)
	is.True(f.choose(t, newCall("later", 6000, 1000)).Save.IsValid())
}

// Sixty-eight gates share the link of a kept store. Each one's share of a moment is
// half a prompt; bounded by that, a gate whose callers ask for two histories in a
// row has the second one read again though it lies in the store and the link is idle.
func TestSmallLinkShareAllowsBurst(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.SetConfiguration(&beechcall.Configuration{Services: map[string]beechcall.Service{
		"llm": {Name: "llm", TokenBytes: 1000}, "kept": {Name: "kept", KVStore: kvStoreAddress, KVStoreRate: 550000}, // 550 tokens in a millisecond
	}})
	f.SetGates(68)
	f.reportAll(nil)
	for i := range 200 { // the size of prompts is known
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
	is.True(fetched <= 5) // a burst of all gates would hold up the link else
}

// The link of the store of kept KV cache is full, and everything that is fetched
// there comes two seconds late. Questions that would fetch a hundred tokens wait
// as long as long prompts do, their runs fill the engines, and more is fetched:
// it goes on after the burst that began it. They are read instead, at once, and
// long prompts leave the link alone until transfers come in time again.
func TestCongestedStoreLinkIsAvoided(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.SetConfiguration(&beechcall.Configuration{Services: map[string]beechcall.Service{
		"llm": {Name: "llm", TokenBytes: 1000}, "kept": {Name: "kept", KVStore: kvStoreAddress, KVStoreRate: 100000}, // 100 tokens in a millisecond
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
	is.True(fetched < 10) // 40 would be 600 tokens in a millisecond
	for i := range 200 {
		run(fmt.Sprint("long-soon-", i), 6000, 400*time.Millisecond)
	}
	is.Equal(run("small-2", 120, 20*time.Millisecond).Fetch, kvStoreAddress)
}
