package beechreader

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var schedule = Schedule{First: 1300 * time.Millisecond, Second: 2 * time.Second, Others: 2400 * time.Millisecond}

func peer(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7340)
}

func TestReaderAndStandbyAreAsked(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	var all []netip.AddrPort
	for i := range 11 {
		all = append(all, peer(i))
	}
	ranks := map[int]int{}
	asked := map[netip.AddrPort]int{}
	for i := range all {
		c := New(peer(i))
		c.UpdatePeers(all, now)
		ranks[c.Rank(now)]++
		for _, reader := range c.Readers(now) {
			asked[reader]++
		}
	}
	is.Equal(len(ranks), 11) // all processes agree on the order
	is.Equal(len(asked), 2)
	for _, n := range asked {
		is.Equal(n, 10)
	}
}

// The reader of a zone is killed. Once it is no longer reported, the ranks of the others
// must move up and a process without other peers must read by itself.
func TestRanksAfterReaderIsGone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	c := New(peer(0))
	c.UpdatePeers([]netip.AddrPort{peer(1), peer(2)}, now)
	is.Equal(len(c.Readers(now))+boolInt(c.Rank(now) < 2), 2)
	now = now.Add(peerTTL + time.Millisecond)
	is.Equal(c.Rank(now), 0)
	is.Equal(len(c.Readers(now)), 0)
	is.Equal(schedule.ForRank(c.Rank(now)), schedule.First)
}

// Operators shorten the time for which removed keys may be served. The store must then be
// read more often by the same factor.
func TestScaledSchedule(t *testing.T) {
	is := is.New(t)
	s := schedule.Scaled(0.5)
	is.Equal(s, Schedule{First: 650 * time.Millisecond, Second: time.Second, Others: 1200 * time.Millisecond})
	is.Equal(s.ForRank(0), s.First)
	is.Equal(s.ForRank(1), s.Second)
	is.Equal(s.ForRank(7), s.Others)
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// The processes of a zone know different peers, as messages are lost and processes start
// and stop. At least one process must rank itself first, or none reads early.
func TestDifferentPeerListsHaveAReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		n := rapid.IntRange(1, 8).Draw(t, "processes")
		readers := 0
		for i := range n {
			c := New(peer(i))
			for j := range n {
				if rapid.Bool().Draw(t, "knows") {
					c.UpdatePeers([]netip.AddrPort{peer(j)}, now)
				}
			}
			if c.Rank(now) == 0 {
				readers++
			}
		}
		if readers == 0 {
			t.Fatal("no process ranks itself first")
		}
	})
}

// Datagrams are delayed, duplicated and reordered, processes are suspended, and other
// senders make up numbers. No answer may make a copy appear younger than the read that
// confirmed it.
func TestAnswersNeverMakeCopyYounger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(peer(0))
		var now, confirmed time.Duration // by one clock for all processes
		type answer struct {
			number    uint64
			age       time.Duration
			confirmed time.Duration
		}
		var questions []uint64
		var answers []answer
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				confirmed = now // the reader reads the store
			case 1:
				questions = append(questions, c.StartInquiry(now))
			case 2:
				if len(questions) > 0 { // the reader answers one of the inquiries, possibly much later
					answers = append(answers, answer{rapid.SampledFrom(questions).Draw(t, "question"), now - confirmed, confirmed})
				}
			case 3:
				if len(answers) > 0 {
					a := rapid.SampledFrom(answers).Draw(t, "answer")
					if confirmedAt, ok := c.ConfirmedAt(a.number, a.age); ok && confirmedAt > a.confirmed {
						t.Fatalf("returned %s, but the copy was confirmed at %s", confirmedAt, a.confirmed)
					}
				}
			case 4:
				number := rapid.Uint64().Draw(t, "stranger")
				if confirmedAt, ok := c.ConfirmedAt(number, -time.Duration(rapid.IntRange(1, 1<<40).Draw(t, "age"))); ok {
					t.Fatalf("an answer with a negative age was accepted: %s", confirmedAt)
				}
			}
		}
	})
}
