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

func TestOneReadsAndOneStandsIn(t *testing.T) {
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
	is.Equal(len(ranks), 11) // everybody agrees on the order
	is.Equal(len(asked), 2)
	for _, n := range asked {
		is.Equal(n, 10)
	}
}

// The process that reads for its zone is killed. It is named for a while yet; the
// others read by themselves before their copies are too old to serve keys, and the
// order closes up when nobody names it any more.
func TestReaderThatIsGone(t *testing.T) {
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

// Operators who want removed keys gone sooner have the store read as much more often.
func TestShorterBoundShortensAges(t *testing.T) {
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

// A zone's processes know different peers, since words are lost and processes
// come and go. Somebody always is due first, whoever knows whom.
func TestDifferentListsHaveAReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		n := rapid.IntRange(1, 8).Draw(t, "processes")
		first := 0
		for i := range n {
			c := New(peer(i))
			for j := range n {
				if rapid.Bool().Draw(t, "knows") {
					c.UpdatePeers([]netip.AddrPort{peer(j)}, now)
				}
			}
			if c.Rank(now) == 0 {
				first++
			}
		}
		if first == 0 {
			t.Fatal("nobody reads")
		}
	})
}

// Datagrams are delayed, doubled and come in any order, processes are suspended,
// strangers send numbers of their own. No answer makes a copy younger than the
// read that confirmed it.
func TestNoWordMakesACopyYounger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(peer(0))
		var now, confirmed time.Duration // by one clock that all share here
		type word struct {
			number uint64
			age    time.Duration
			truth  time.Duration
		}
		var questions []uint64
		var answers []word
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				confirmed = now // the reader reads
			case 1:
				questions = append(questions, c.StartInquiry(now))
			case 2:
				if len(questions) > 0 { // it answers some question, then or much later
					answers = append(answers, word{rapid.SampledFrom(questions).Draw(t, "question"), now - confirmed, confirmed})
				}
			case 3:
				if len(answers) > 0 {
					a := rapid.SampledFrom(answers).Draw(t, "answer")
					if at, ok := c.ConfirmedAt(a.number, a.age); ok && at > a.truth {
						t.Fatalf("believed %s, confirmed %s", at, a.truth)
					}
				}
			case 4:
				number := rapid.Uint64().Draw(t, "stranger")
				if at, ok := c.ConfirmedAt(number, -time.Duration(rapid.IntRange(1, 1<<40).Draw(t, "age"))); ok {
					t.Fatalf("an age below zero was believed: %s", at)
				}
			}
		}
	})
}
