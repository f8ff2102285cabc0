package beechstore

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// copyingService is a service that sends a copy of the last reply of a connection before each of its own. It
// keeps one value for each key, of which no write is due: all conflict.
type copyingService struct {
	mu      sync.Mutex
	version int
}

func (s *copyingService) reply(r *http.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	status, body := "200 OK", "data of "+r.URL.Path
	if r.Method == http.MethodPut {
		status, body = "412 Precondition Failed", ""
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\nVersion: %d\r\nContent-Length: %d\r\n\r\n%s", status, s.version, len(body), body)
}

func (s *copyingService) serve(connection net.Conn) {
	defer connection.Close()
	reader, before := bufio.NewReader(connection), ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := reader.Discard(int(r.ContentLength)); err != nil {
			return
		}
		reply := s.reply(r)
		_, _ = connection.Write([]byte(before + reply))
		before = reply
	}
}

func newCopyingService(t *testing.T) Store {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &copyingService{}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(connection)
		}
	}()
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	return New(Settings{Addresses: []netip.AddrPort{address}, CallsPerSecond: 1000}, NewHTTPClient(), clockwork.NewRealClock())
}

// The copy of an earlier reply passes for the success of a write. A claim that another process holds would be
// granted, and its request would run twice.
func TestCopyOfAReplyIsNoWrite(t *testing.T) {
	for _, importance := range []Importance{ImportanceOther, ImportanceConfiguration, ImportanceClaim} {
		t.Run(fmt.Sprint(importance), func(t *testing.T) {
			is := is.New(t)
			store := newCopyingService(t)
			for range 5 {
				read, err := store.Get(t.Context(), "key", importance)
				is.NoErr(err)
				_, err = store.CompareAndSwap(t.Context(), "key", read.Version, []byte("x"), "", importance)
				is.True(err != nil) // not taken for a success
			}
		})
	}
}

// The copy of another key's value passes for the one of a claim.
func TestCopyOfAnotherValueIsNoClaim(t *testing.T) {
	is := is.New(t)
	store := newCopyingService(t)
	for n := range 5 {
		key := fmt.Sprint("record/", n)
		read, err := store.Get(t.Context(), key, ImportanceClaim)
		is.NoErr(err)
		is.True(strings.HasSuffix(string(read.Data), key))
		time.Sleep(time.Millisecond)
	}
}
