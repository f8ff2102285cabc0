package beechagent

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/state/beechfence"
)

// After new weights are configured, all engines of a model wait for a few load
// slots. If their agents requested slots again without a delay, they would use up
// the write rate of the platform's service, and members' bookings would be refused
// although the service is healthy.
func TestAgentWaitsBetweenRequestsForLoadSlot(t *testing.T) {
	is := is.New(t)
	for range 100 {
		delay := loadRetryDelay(fmt.Errorf("load: %w", beechfence.Busy{Slots: 3, After: time.Second}))
		is.True(delay >= slotRetryDelay && delay < 2*slotRetryDelay)
	}
	is.Equal(loadRetryDelay(nil), time.Duration(0))
	is.Equal(loadRetryDelay(errors.New("the engine does not answer")), time.Duration(0))
}
