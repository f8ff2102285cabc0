package beechrollout

import "time"

// Settings of an engine's turns. Zero values are taken from Defaults.
type Settings struct {
	DrainTime time.Duration // an engine is left alone for so long before its order
}

// Defaults are the settings where none are given; docs/decisions/weights.md has the
// reason for Lead.
var Defaults = Settings{DrainTime: 500 * time.Millisecond}

func (s Settings) withDefaults() Settings {
	if s.DrainTime <= 0 {
		s.DrainTime = Defaults.DrainTime
	}
	return s
}
