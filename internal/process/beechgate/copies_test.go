package beechgate

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/link/beechwire"
)

// All gates of a zone start and fetch their copies. One gate must not hand out more at a time than
// its link bears; the others find it elsewhere.
func TestCopiesHandedOutAtATime(t *testing.T) {
	is := is.New(t)
	c := &copies{}
	for range maxCopyReaders {
		is.True(c.begin())
	}
	is.True(!c.begin())
	c.end()
	is.True(c.begin())
}

// Guards against copies that a gate of the release before, which sends no word of what it keeps, or this one cannot read.
func TestCopiesOfTwoReleases(t *testing.T) {
	is := is.New(t)
	entries := beechwire.Entries{Revision: 40, Era: 1, List: []beechwire.Entry{{Key: "servers/a", Value: []byte("{}"), Revision: 7, Created: 7, Era: 1}}}
	list, err := compress(&entries)
	is.NoErr(err)
	kept, err := compress(&beechwire.Kept{Millis: 1200, Lost: 4000, Failed: 900, List: []beechwire.Entry{{Key: "servers/b", Value: []byte("{}"), Revision: 6, Created: 6, Era: 1}}})
	is.NoErr(err)
	for _, answer := range [][]byte{list, slices.Concat(list, kept)} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = w.Write(answer)
		}))
		copied, err := newCopies(netip.MustParseAddrPort("127.0.0.1:0")).fetch(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()), "servers/")
		server.Close()
		is.NoErr(err)
		is.Equal(copied.Items[0].Key, "servers/a")
		if len(answer) == len(list) {
			is.Equal(copied.KeptFor, time.Duration(0))
			continue
		}
		is.Equal(copied.Kept[0].Key, "servers/b")
		is.Equal(copied.KeptFor, 1200*time.Millisecond)
		is.Equal(copied.LostFor, 4*time.Second)
		is.Equal(copied.Failed, 900*time.Millisecond)
	}
	both, err := gzip.NewReader(bytes.NewReader(slices.Concat(list, kept)))
	is.NoErr(err)
	data, err := io.ReadAll(both)
	is.NoErr(err)
	var read beechwire.Entries
	_, err = read.UnmarshalMsg(data) // as the release before does, which passes over what follows
	is.NoErr(err)
	is.Equal(read.Revision, entries.Revision)
}
