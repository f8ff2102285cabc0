package beechreader

import "time"

// Schedule is the age of its copy at which a process reads the store, by role.
type Schedule struct {
	First      time.Duration
	Second     time.Duration
	ZoneFirst  time.Duration
	ZoneSecond time.Duration
	Others     time.Duration
}

// Terms of the longest time from a change in the store until a process that the store answers has acted on it, besides the
// age at which it reads.
const (
	// CallTime is the time of a read that the store answers, with the connection that it needs.
	CallTime = 100 * time.Millisecond
	// SendTime is the time from the last look at the copy until what follows from it has arrived.
	SendTime = 50 * time.Millisecond
	// boundMargin is left for both, and for a process that waits for its processor.
	boundMargin = 300 * time.Millisecond
)

const (
	// InquiryInterval is the time between inquiries of a process whose copy is proved regularly.
	InquiryInterval = 300 * time.Millisecond
	// urgentInterval is that of one whose last proof is missing. A lost datagram would otherwise have the process read
	// the store.
	urgentInterval = 100 * time.Millisecond
	// proofSteps is the number of inquiries, one after the other, by which a proof gets from the first reader to a
	// follower.
	proofSteps = 2
)

// Shares of the age at which the followers read. A proof of the first reader is at most proofSteps inquiries older at a
// follower, and each role reads late enough to be proved by those before it, if they read.
const (
	firstShare      = 0.54
	secondShare     = 0.73
	zoneFirstShare  = 0.80
	zoneSecondShare = 0.84
)

// ForBound returns the ages at which processes must read so that each one that the store answers has acted on a change
// within a bound, whatever all others do or say. Nothing but the age of its own proof has a process read: readers that get
// no answers, are suspended, or take themselves for well cost the others nothing but the reads.
func ForBound(bound time.Duration) Schedule {
	others := max(bound-boundMargin, bound/2)
	share := func(x float64) time.Duration { return time.Duration(x * float64(others)) }
	return Schedule{First: share(firstShare), Second: share(secondShare), ZoneFirst: share(zoneFirstShare), ZoneSecond: share(zoneSecondShare), Others: others}
}

// Earlier returns the schedule of a copy whose reads prove the copy with this schedule too, which then is not read itself.
func (s Schedule) Earlier(lead time.Duration) Schedule {
	lead = min(lead, s.First/2)
	return Schedule{First: s.First - lead, Second: s.Second - lead, ZoneFirst: s.ZoneFirst - lead, ZoneSecond: s.ZoneSecond - lead, Others: s.Others - lead}
}

// WorstCase returns the longest time from a change in the store until a process that the store answers has acted on it:
// its copy was proved just before the change, nobody else proves it again, and it reads.
func (s Schedule) WorstCase() time.Duration {
	return max(s.First, s.Second, s.ZoneFirst, s.ZoneSecond, s.Others) + CallTime + SendTime
}

// ForRole returns the age for a role.
func (s Schedule) ForRole(r Role) time.Duration {
	switch r {
	case First:
		return s.First
	case Second:
		return s.Second
	case ZoneFirst:
		return s.ZoneFirst
	case ZoneSecond:
		return s.ZoneSecond
	case Follower:
	}
	return s.Others
}

// NextInquiry returns the time until the next inquiry of a process whose copy has an age.
func (s Schedule) NextInquiry(age time.Duration) time.Duration {
	if age > s.First+proofSteps*InquiryInterval && age < s.Others+CallTime {
		return urgentInterval
	}
	return InquiryInterval
}
