package beechrollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// After a restore of the store, gates that have started since know a higher fencing number for the
// same version than the others. The engine must not get the lower one after the higher one.
func TestFenceOfAVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	u := NewUpdater(Settings{})
	now := time.Now()
	u.SetTarget(Target{Model: "m", Version: 2, Fence: 30}, now)
	u.SetTarget(Target{Model: "m", Version: 2, Fence: 130}, now)
	u.SetTarget(Target{Model: "m", Version: 2, Fence: 30}, now)
	is.Equal(u.targets["m"].Fence, uint64(130))
	u.SetTarget(Target{Model: "m", Version: 3, Fence: 140}, now)
	is.Equal(u.targets["m"].Fence, uint64(140))
}
