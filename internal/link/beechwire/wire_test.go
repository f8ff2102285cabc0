package beechwire

import (
	"testing"

	"github.com/matryer/is"
)

// A process of a newer version sends a field that this one has never heard
// of. If that broke decoding, a rolling upgrade would cut every link.
func TestUnknownFieldsArePassedOver(t *testing.T) {
	is := is.New(t)
	frame := []byte{0x82, 0xa6, 'S', 't', 'r', 'e', 'a', 'm', 0x07, 0xa3, 'n', 'e', 'w', 0xc3}
	var cancel Cancel
	_, err := cancel.UnmarshalMsg(frame)
	is.NoErr(err)
	is.Equal(cancel.Stream, uint64(7))
}
