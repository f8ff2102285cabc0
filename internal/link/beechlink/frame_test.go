package beechlink

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/matryer/is"
)

// readAll returns the frames of b, read one byte at a time or all at once.
func readAll(b []byte, limit int, byBytes bool) (kinds []kind, bodies [][]byte, err error) {
	var source io.Reader = bytes.NewReader(b)
	if byBytes {
		source = iotest.OneByteReader(source)
	}
	r := newFrameReader(source, limit)
	for {
		k, body, err := r.next()
		if err != nil {
			return kinds, bodies, err
		}
		kinds = append(kinds, k)
		bodies = append(bodies, bytes.Clone(body))
	}
}

// The network may deliver a frame in parts, or several frames at once. A reader
// that took a part for a frame would give callers bytes of other answers.
func TestFramesReadInPieces(t *testing.T) {
	is := is.New(t)
	var b []byte
	sizes := []int{0, 1, smallBuffer, largeBuffer, 3 * largeBuffer, 5}
	for _, size := range sizes {
		b = append(b, frameOf(t, kindData, &beechwire.Data{Data: make([]byte, size)})...)
	}
	_, whole, err := readAll(b, 1<<20, false)
	is.Equal(err, io.EOF)
	is.Equal(len(whole), len(sizes))
	_, pieces, err := readAll(b, 1<<20, true)
	is.Equal(err, io.EOF)
	is.Equal(pieces, whole)
	for i, size := range sizes {
		var m beechwire.Data
		_, err := m.UnmarshalMsg(pieces[i])
		is.NoErr(err)
		is.Equal(len(m.Data), size)
	}
}

func TestFrameErrors(t *testing.T) {
	is := is.New(t)
	good := frameOf(t, kindCancel, &beechwire.Cancel{Stream: 1})
	for _, b := range [][]byte{
		{0, 0, 0, 0, byte(kindData)},
		{0xff, 0xff, 0xff, 0xff, byte(kindData)},
		{0, 0, 0, 1, 0},
		{0, 0, 0, 1, byte(kindLast) + 1},
		[]byte("GET / HTTP/1.1\r\n\r\n"),
	} {
		_, bodies, err := readAll(append(bytes.Clone(good), b...), 1<<20, true)
		var malformed *FrameError
		is.True(errors.As(err, &malformed))
		is.Equal(len(bodies), 1) // the frame before it is not lost
	}
	for cut := 1; cut < len(good); cut++ {
		_, _, err := readAll(good[:cut], 1<<20, false)
		is.Equal(err, io.ErrUnexpectedEOF)
	}
	_, err := appendFrame(nil, 100, kindData, &beechwire.Data{Data: make([]byte, 101)})
	var malformed *FrameError
	is.True(errors.As(err, &malformed))
}

// FuzzFrame passes bytes to the frame reader, and the frames to the decoders of
// both endpoints.
func FuzzFrame(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add(frameOf(f, kindOpen, &beechwire.Open{Stream: 1, Request: beechwire.Request{ID: "a", BodyBytes: 3}}))
	f.Add(frameOf(f, kindData, &beechwire.Data{Stream: 1, Sequence: 1, Data: []byte("abc")}))
	f.Add(frameOf(f, kindBeat, &beechwire.Beat{Models: &beechwire.Names{Names: []string{"m"}}}))
	f.Add(frameOf(f, kindResult, &beechwire.Result{Call: 1, Payload: []byte("x")}))
	f.Fuzz(func(t *testing.T, b []byte) {
		const limit = 64 << 10
		kinds, whole, err := readAll(b, limit, false)
		pieceKinds, pieces, pieceErr := readAll(b, limit, true)
		if (err == io.EOF) != (pieceErr == io.EOF) || len(whole) != len(pieces) {
			t.Fatalf("whole: %d frames, %v; in pieces: %d frames, %v", len(whole), err, len(pieces), pieceErr)
		}
		total := 0
		for i, body := range whole {
			if kinds[i] != pieceKinds[i] || !bytes.Equal(body, pieces[i]) {
				t.Fatalf("frame %d differs", i)
			}
			total += headerBytes + len(body)
		}
		if total > len(b) || (err == io.EOF && total != len(b)) {
			t.Fatalf("frames of %d bytes from %d", total, len(b))
		}
		feedEndpoints(kinds, whole)
	})
}

// feedEndpoints passes the frames to both endpoints, each until the first frame
// that it rejects.
func feedEndpoints(kinds []kind, bodies [][]byte) {
	s := Settings{MaxBody: 1 << 10, MaxFrame: 64 << 10}.withDefaults()
	client := newClientEndpoint()
	server := newServerEndpoint(fuzzServer)
	for _, e := range []endpoint{client, server} {
		c := newConnection(nil, Peer{}, sessionKey{}, s, &counters{}, fuzzServer.scheduler, answerFunc(echoCall), fuzzServer.sessions, e)
		client.connection, server.connection = c, c
		// Replies need a stream with id 1.
		if _, err := client.add(&clientStream{requestID: "a", attempt: 1, nextSequence: 1}); e == endpoint(client) && err != nil {
			panic(err)
		}
		for i, k := range kinds {
			if c.receive(k, bodies[i]) != nil {
				break
			}
		}
		e.connectionLost(c, io.EOF)
		c.cancel()
	}
}

var fuzzServer = NewServer(Settings{}, nil, handlerFuncs{
	open:     echo,
	reattach: func(context.Context, ServerStream, beechwire.Reattach) {},
}, answerFunc(echoCall), &recorder{}, &recorder{}, nil, realClock)
