package beechdatagram

import (
	"context"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/beechring/beechring/internal/link/beechwire"
)

var messages = []Message{
	Follow{&beechwire.Follow{Gate: "edge-1", Zone: "mill", Rate: 70, Targets: []beechwire.Target{{Model: "m", Version: 3, Fence: 9, Granted: true, Alone: 4000}}, Suspects: []beechwire.Suspect{}}},
	Announce{&beechwire.Announce{Read: 6000, Parts: []uint64{1 << 60, 2}, Kept: true}},
	Tell{&beechwire.Tell{
		Port: 8080, Phase: 1, Run: 12, Wait: 3, Used: 40000, Room: 90000, Read: 5000, Gates: 68, Took: 540, Have: []beechwire.Weights{{Model: "advisor0000", Version: 3}},
		Parts: []uint64{1 << 60}, Gone: []uint64{}, Kept: []uint64{}, Suspects: []beechwire.Suspect{},
	}},
	Gossip{&beechwire.Gossip{Act: 1, Sequence: 9, Digest: 1 << 63, Zones: []string{"mill"}, Members: []beechwire.Node{{Address: "\x0a\x01\x00\x1e\x1c\xac", Capacity: 144, Incarnation: 1700000000123}}}},
	Inquiry{&beechwire.Inquiry{Number: 7}},
	Summary{&beechwire.Summary{
		Pass: true, Changes: []beechwire.Engine{{Host: "\x0a\x01\x00\x1e", Number: 1 << 31, Run: 3, Used: 40000, Read: 5000, Parts: []uint64{1 << 60}, Status: []beechwire.Status{{Port: 8080, Have: []beechwire.Weights{{Model: "m", Version: 2}}}}}},
		Confirmed: []beechwire.Heard{{Host: "\x0a\x01\x00\x1e", Number: 200}}, Lost: []string{"\x0a\x01\x00\x1f"}, Paces: []beechwire.Seen{{Engine: 1 << 60, Samples: 7, Log: -260}},
		Speed: []beechwire.Speed{{Samples: 3, Rate: 69800, Fixed: 9000}}, Busy: []beechwire.Busy{{Server: 1 << 60, Run: 4}},
	}},
	Borrow{&beechwire.Borrow{Service: "llm", Wanted: 2}},
	Loan{&beechwire.Loan{Service: "llm", Count: 1}},
	Origins{&beechwire.Origins{Pass: true, Service: "llm", Software: "v1.2", Requests: []string{"9c41d07be2a35f68"}}},
	Query{&beechwire.Query{Number: 1 << 63, Service: "llm", Request: "9c41d07be2a35f68"}},
	Found{&beechwire.Found{Number: 1 << 63, Known: true, Service: "llm", Software: "v1.2"}},
	Prove{&beechwire.Prove{Number: 1 << 63, Service: "llm"}},
	Sole{&beechwire.Sole{Number: 1 << 63, Service: "llm", Software: "v1.2"}},
	Quiet{&beechwire.Quiet{Era: 2, After: 1 << 40, Until: 1<<40 | 7}},
	Outage{&beechwire.Outage{Number: 1 << 63, Lost: 4200, Failed: 300}},
	Served{&beechwire.Served{Number: 1 << 63}},
	Poison{&beechwire.Poison{
		Pass: true, Crashes: []beechwire.ServerCrash{{Server: 1 << 63, AgeMillis: 40, Suspects: []beechwire.CrashSuspect{{Key: 1 << 62, Rank: 1, Workspace: 1 << 31}}}},
		Starts: []beechwire.TraitEvent{{Key: 1 << 61, AgeMillis: 30}}, Trials: []beechwire.TraitEvent{{Key: 1 << 62, AgeMillis: 20}},
	}},
	Pressure{&beechwire.Pressure{
		Pass: true, Millis: 250, Strains: []beechwire.Strain{{Host: "\x0a\x01\x00\x1e", Number: 1 << 31, Slow: 250, Ranks: []beechwire.RankLoad{{Urgency: 3, Run: 7, Used: 64000}}}},
		Demands: []beechwire.Demand{{Service: 1 << 63, Urgency: 3, Workspace: 1 << 31, Asked: 9, Refused: 2, Work: 80000}},
	}},
	Health{&beechwire.Health{Path: "/health"}},
	Returns{&beechwire.Returns{Pass: true, List: []beechwire.Return{{Account: 1 << 31, Call: 1 << 30, Millis: -5, Class: 9, Size: 9200, Kept: true}}}},
	Acquire{&beechwire.Acquire{Number: 1 << 63}},
	Fence{&beechwire.Fence{Number: 1 << 63, Fence: 1<<40 | 37}},
	Recall{&beechwire.Recall{Hosts: []string{"\x0a\x01\x00\x1e"}}},
	Proof{&beechwire.Proof{Number: 7, Operators: beechwire.Held{Digest: 1 << 63, Revision: 40, Age: 1300, Watched: true}, Servers: beechwire.Held{Age: -1}}},
	Spent{&beechwire.Spent{Host: 1 << 63, Lifetime: 2, Pass: true, Settled: true, Uses: []beechwire.Use{{Workspace: 1 << 60, Total: 9200, Level: -5}}}},
	Full{&beechwire.Full{Pass: true, List: []beechwire.FullServer{{Server: 1 << 60, Left: 150}}}},
	Entries{&beechwire.Entries{After: 4, Revision: 6, List: []beechwire.Entry{{Key: "servers/i-1", Value: []byte("{}"), Revision: 6, Created: 2}}}},
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, m := range messages {
		data, err := Encode(m)
		is.NoErr(err)
		got, err := Decode(data)
		is.NoErr(err)
		is.Equal(reflect.TypeOf(got), reflect.TypeOf(m))
		again, err := Encode(got)
		is.NoErr(err)
		is.Equal(again, data) // compares encodings, since an empty list is decoded as nil
	}
}

// A keeper sends its Tell to each gate several times a second, and traffic to other
// zones is billed by the byte. With field names the message took 250 bytes.
func TestTellIsSmall(t *testing.T) {
	is := is.New(t)
	data, err := Encode(messages[2])
	is.NoErr(err)
	is.True(len(data) <= 64)
}

// During a rolling upgrade other releases may send unknown kinds of messages, and any
// process may send garbage to an open port. Such datagrams must be skipped and counted
// without losing the valid ones after them.
func TestUnknownDatagramsAreSkipped(t *testing.T) {
	is := is.New(t)
	s, err := Open(netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	received := make(chan Message, 1)
	go func() { _ = s.Receive(ctx, func(_ netip.AddrPort, m Message) { received <- m }) }()
	known, err := Encode(messages[4])
	is.NoErr(err)
	longer, err := Encode(messages[4])
	is.NoErr(err)
	longer[1]++ // the array claims one more field than it has
	for _, data := range [][]byte{{}, {'t', 0x81}, {'I'}, longer, known[:len(known)-1], {0xff, 0xff}, known} {
		_, err := s.conn.WriteToUDPAddrPort(data, s.Address())
		is.NoErr(err)
	}
	select {
	case m := <-received:
		is.True(reflect.DeepEqual(m, messages[4]))
	case <-time.After(5 * time.Second):
		t.Fatal("the valid datagram was not received within 5 s")
	}
	is.Equal(s.MalformedCount(), int64(6))
}

// A collector tells each gate what has changed at all engines of the fleet many times a second,
// and other zones by the byte. Most changes are of a load only.
func TestChangeOfLoadIsSmall(t *testing.T) {
	is := is.New(t)
	change := beechwire.Engine{Host: "\x0a\x01\x00\x1e", Number: 1 << 31, Base: 7, Run: 3, Wait: 1, Used: 40000, Read: 5000}
	one, err := Encode(Summary{&beechwire.Summary{Changes: []beechwire.Engine{change}}})
	is.NoErr(err)
	two, err := Encode(Summary{&beechwire.Summary{Changes: []beechwire.Engine{change, change}}})
	is.NoErr(err)
	is.True(len(two)-len(one) <= 28)
}

func TestSentBytesByKindAndScope(t *testing.T) {
	is := is.New(t)
	s, err := Open(netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	defer s.Close()
	is.NoErr(s.Send(s.Address(), CrossZone, messages[4]))
	is.NoErr(s.Send(s.Address(), SameZone, messages[4]))
	is.NoErr(s.Send(s.Address(), SameZone, messages[4]))
	is.Equal(s.SentBytes().String(), `{"inquiry far": 3, "inquiry near": 6}`)
}

func FuzzDecode(f *testing.F) {
	for _, m := range messages {
		data, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("%x became %x: %v", data, again, err)
		}
	})
}

// A gate of a release that knows no eras sends a proof and entries without them. Taken for those of
// era 0 they would be compared with revisions of the current one; they must not be decoded.
func TestMessagesWithoutErasAreInvalid(t *testing.T) {
	is := is.New(t)
	held := func(b []byte) []byte {
		b = msgp.AppendArrayHeader(b, 4)
		b = msgp.AppendUint64(b, 1<<63)
		b = msgp.AppendUint64(b, 40)
		b = msgp.AppendInt64(b, 1300)
		return msgp.AppendBool(b, true)
	}
	proof := msgp.AppendArrayHeader([]byte{kindProof}, 3)
	proof = held(held(msgp.AppendUint64(proof, 7)))
	_, err := Decode(proof)
	is.True(err != nil)
	entries := msgp.AppendArrayHeader([]byte{kindEntries}, 3)
	entries = msgp.AppendUint64(msgp.AppendUint64(entries, 4), 6)
	_, err = Decode(msgp.AppendArrayHeader(entries, 0))
	is.True(err != nil)
}
