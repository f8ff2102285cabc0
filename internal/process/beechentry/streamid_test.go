package beechentry

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A caller that alters an event id, or uses one from another workspace's logs,
// must get an error whichever character it changed; otherwise it could read
// another workspace's answer.
func TestAlteredStreamIDsAreRefused(t *testing.T) {
	is := is.New(t)
	signer := newStreamSigner("0123456789abcdef")
	id := streamID{Agent: netip.MustParseAddrPort("127.0.0.1:7100"), Incarnation: 9, RequestID: "r-1", Sequence: 12}
	text := signer.format("granite", id)

	got, err := signer.parse("granite", text)
	is.NoErr(err)
	is.Equal(got, id)

	_, err = signer.parse("solis", text)
	is.Equal(err, errStreamID)
	encoded := strings.Index(text, idSeparator)
	for i := range encoded {
		altered := []byte(text)
		altered[i] ^= 1
		if altered[i] == '.' {
			continue
		}
		_, err = signer.parse("granite", string(altered))
		is.True(err != nil)
	}
	for _, text := range []string{"", ".", "x.1", "AAAA.1", text[:encoded], text + "x"} {
		_, err = signer.parse("granite", text)
		is.Equal(err, errStreamID)
	}
}
