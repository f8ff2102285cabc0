package beechwire

import (
	"testing"

	"github.com/matryer/is"
)

// A process of a newer release sends a field that this release does not know. If decoding
// failed, a rolling upgrade would break every link.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	is := is.New(t)
	frame := []byte{0x82, 0xa6, 'S', 't', 'r', 'e', 'a', 'm', 0x07, 0xa3, 'n', 'e', 'w', 0xc3}
	var cancel Cancel
	_, err := cancel.UnmarshalMsg(frame)
	is.NoErr(err)
	is.Equal(cancel.Stream, uint64(7))
}
