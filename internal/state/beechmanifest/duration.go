package beechmanifest

import (
	"encoding/json"
	"fmt"
	"time"
)

// MarshalJSON encodes the duration as text, such as "1.3s".
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes text in the format of time.ParseDuration.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("read a duration: %w", err)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("read a duration: %w", err)
	}
	*d = Duration(parsed)
	return nil
}
