package beechreader

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var schedule = Schedule{First: time.Second, Second: 1700 * time.Millisecond, ZoneFirst: 2 * time.Second, ZoneSecond: 2200 * time.Millisecond, Others: 2400 * time.Millisecond}

func peer(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7340)
}

// Eleven processes in two zones: only two of the fleet are asked by other zones, and only two
// of a zone by the others of it.
func TestReadersAndStandbysAreAsked(t *testing.T) {
	is := is.New(t)
	fleet := []netip.AddrPort{peer(0), peer(6)}
	zones := [][]netip.AddrPort{{peer(0), peer(2)}, {peer(6), peer(7)}}
	roles := map[Role]int{}
	asked := map[netip.AddrPort]int{}
	for i := range 11 {
		c := New(peer(i))
		c.SetReaders(fleet, zones[i/6])
		roles[c.Role()]++
		for _, reader := range c.Targets() {
			asked[reader]++
		}
	}
	is.Equal(roles, map[Role]int{First: 1, Second: 1, ZoneSecond: 2, Follower: 7})
	is.Equal(len(asked), 4)
	is.Equal(asked[peer(2)], 4) // by the four followers of its zone
	is.Equal(asked[peer(0)], 7) // besides by the other reader and both zones' second ones
}

// A process that knows no other, or whose readers are all gone, must read by itself.
func TestProcessWithoutReadersReadsForItself(t *testing.T) {
	is := is.New(t)
	c := New(peer(0))
	is.Equal(c.Role(), First)
	c.SetReaders([]netip.AddrPort{peer(1), peer(2)}, []netip.AddrPort{peer(3), peer(0)})
	is.Equal(c.Role(), ZoneSecond)
	is.Equal(c.Targets(), []netip.AddrPort{peer(1), peer(2)})
	c.SetReaders(nil, nil)
	is.Equal(c.Role(), First)
	is.Equal(len(c.Targets()), 0)
	is.Equal(schedule.ForRole(c.Role()), schedule.First)
}

// A gate restarts at its address, and an answer to the process before comes late. It must not prove that the
// copy of this process is as young as the inquiry that it sent since.
func TestAnswerToTheProcessBeforeProvesNothing(t *testing.T) {
	is := is.New(t)
	before, after := New(peer(0)), New(peer(0))
	var asked []uint64
	for range maxInquiries {
		asked = append(asked, before.StartInquiry(time.Second))
		after.StartInquiry(2 * time.Second)
	}
	for _, number := range asked {
		_, proof := after.ConfirmedAt(number, 0)
		is.True(!proof)
	}
}

// A follower's proof spans two steps: the reader of its zone answers with the age that it has
// itself only by an answer. However the datagrams of both steps are delayed and lost, and
// whichever process is suspended, no copy may appear younger than the read.
func TestProofOverTwoStepsIsNeverTooYoung(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, follower := New(peer(1)), New(peer(2))
		type answer struct {
			number uint64
			age    time.Duration
		}
		var now, read time.Duration
		var known, proved time.Duration // confirmations of the zone's reader and of the follower
		var toFleet, toZone []uint64
		var fromFleet, fromZone []answer
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				read = now
			case 1:
				toFleet = append(toFleet, reader.StartInquiry(now))
			case 2:
				toZone = append(toZone, follower.StartInquiry(now))
			case 3:
				if len(toFleet) > 0 {
					fromFleet = append(fromFleet, answer{rapid.SampledFrom(toFleet).Draw(t, "question"), now - read})
				}
			case 4:
				if len(toZone) > 0 {
					fromZone = append(fromZone, answer{rapid.SampledFrom(toZone).Draw(t, "question"), now - known})
				}
			case 5:
				if len(fromFleet) > 0 {
					a := rapid.SampledFrom(fromFleet).Draw(t, "answer")
					if at, ok := reader.ConfirmedAt(a.number, a.age); ok {
						known = max(known, at)
					}
				}
			case 6:
				if len(fromZone) > 0 {
					a := rapid.SampledFrom(fromZone).Draw(t, "answer")
					if at, ok := follower.ConfirmedAt(a.number, a.age); ok {
						proved = max(proved, at)
					}
				}
			}
			if known > read || proved > read {
				t.Fatalf("the store was read at %s, the zone's reader holds %s and the follower %s for proved", read, known, proved)
			}
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
