package beechreader

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a change that reaches a process later than the bound because the terms of its way were never added up.
func TestSumOfAllTermsIsWithinTheBound(t *testing.T) {
	for _, bound := range []time.Duration{300 * time.Millisecond, 520 * time.Millisecond, time.Second, 2 * time.Second, 2600 * time.Millisecond, 3 * time.Second, 4 * time.Second, 5 * time.Second} {
		t.Run(bound.String(), func(t *testing.T) {
			is := is.New(t)
			s := ForBound(bound)
			for _, schedule := range []Schedule{s, s.Earlier(CallTime), s.Earlier(2 * CallTime)} {
				for _, role := range []Role{Follower, ZoneSecond, ZoneFirst, Second, First} {
					is.True(schedule.ForRole(role) > 0)
					is.True(schedule.ForRole(role)+CallTime+SendTime <= bound)
				}
				is.True(schedule.WorstCase() <= bound)
			}
		})
	}
}

// Guards against reads of processes whose copies the readers before them prove in time, each of which is paid for.
func TestProofsArriveBeforeReadsAreDue(t *testing.T) {
	const delay = 20 * time.Millisecond // of an inquiry and its answer
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second} {
		t.Run(bound.String(), func(t *testing.T) {
			is := is.New(t)
			s := ForBound(bound).Earlier(CallTime)
			step := InquiryInterval + delay
			is.True(s.First+step < s.Second)
			is.True(s.First+step < s.ZoneFirst)
			is.True(s.First+2*step < s.Others)
			is.True(s.Second+step < s.Others)     // without the first reader, and zones' readers read for followers
			is.True(s.ZoneFirst+step <= s.Others) // without both readers of the fleet
			is.True(s.ZoneFirst < s.ZoneSecond && s.ZoneSecond < s.Others)
			is.True(s.First+2*step+urgentInterval < s.Others) // and one inquiry is lost
		})
	}
}

// Guards against more than a few inquiries beyond the usual ones.
func TestInquiriesAreUrgentOnlyWhileAProofIsMissing(t *testing.T) {
	is := is.New(t)
	s := ForBound(2 * time.Second)
	is.Equal(s.NextInquiry(s.First+InquiryInterval), InquiryInterval)
	is.Equal(s.NextInquiry(s.First+2*InquiryInterval+10*time.Millisecond), urgentInterval)
	is.Equal(s.NextInquiry(s.Others+time.Second), InquiryInterval) // nobody is served
}
