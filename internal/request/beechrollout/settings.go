package beechrollout

import "time"

// Settings configures an Updater. Zero values are taken from Defaults.
type Settings struct {
	DrainTime time.Duration // how long an engine receives no new requests before its order
}

// Defaults holds the default settings; docs/decisions/weights.md explains the choice of
// DrainTime.
var Defaults = Settings{DrainTime: 500 * time.Millisecond}

func (s Settings) withDefaults() Settings {
	if s.DrainTime <= 0 {
		s.DrainTime = Defaults.DrainTime
	}
	return s
}
