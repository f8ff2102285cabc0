package beechrecord

import (
	"bytes"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	// segment is one value in the service: claims of one shard in the order
	// they were made. Entries are added only while the segment is open;
	// outcomes may be added later. A closed segment holds the ID of the next
	// one, which is created first.
	segment struct {
		Opened  time.Time `json:"opened"`
		Next    string    `json:"next,omitempty"`
		Entries []entry   `json:"entries"`
	}

	entry struct {
		Key     string   `json:"k"`
		Body    string   `json:"b"`
		Token   string   `json:"t"`
		Request string   `json:"r"`
		Outcome *outcome `json:"o,omitempty"`
	}

	outcome struct {
		NotRun   bool   `json:"n,omitempty"`
		Status   int    `json:"s,omitempty"`
		Type     string `json:"c,omitempty"`
		Body     []byte `json:"a,omitempty"`
		Complete bool   `json:"w,omitempty"`
	}

	// index lists the retained segments, oldest first. The newest ones may be
	// missing; they are found through Next of their predecessors.
	index struct {
		Segments []segmentRef `json:"segments"`
	}

	segmentRef struct {
		ID     string    `json:"id"`
		Opened time.Time `json:"opened"`
	}

	// cachedSegment is a segment as last read or written, with a lookup by
	// key. Old closed segments are compacted to their keys, since a day's
	// entries would not fit into an agent's memory and nearly every claim only
	// needs to know that its key is absent.
	cachedSegment struct {
		id      string
		version uint64
		segment segment
		bytes   int
		byKey   map[string]int // index of a key's newest entry; nil if compacted
		keys    []keyID        // sorted; only if compacted
	}
)

const (
	formatVersion   = 1
	tokenBytes      = 12
	maxSegmentBytes = beechstore.MaxValueBytes * 7 / 8
)

func newToken() string {
	b := make([]byte, tokenBytes)
	_, _ = rand.Read(b)
	return base64.RawURLEncoding.EncodeToString(b)
}

func newSegmentID() string {
	b := make([]byte, tokenBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func indexKey(shard int) string { return fmt.Sprintf("record/%d", shard) }

func segmentKey(shard int, id string) string { return fmt.Sprintf("record/%d/%s", shard, id) }

func encodeSegment(s segment) ([]byte, error) { return beechstore.EncodeValue(formatVersion, s) }

func decodeSegment(id string, v beechstore.Value) (*cachedSegment, error) {
	var s segment
	if err := beechstore.DecodeValue(v.Key, v.Data, formatVersion, &s); err != nil {
		return nil, err
	}
	return newCachedSegment(id, v.Version, s, len(v.Data)), nil
}

func newCachedSegment(id string, version uint64, s segment, bytes int) *cachedSegment {
	x := &cachedSegment{id: id, version: version, segment: s, bytes: bytes, byKey: make(map[string]int, len(s.Entries))}
	for i, e := range s.Entries {
		x.byKey[e.Key] = i
	}
	return x
}

func (x *cachedSegment) ref() segmentRef { return segmentRef{ID: x.id, Opened: x.segment.Opened} }

func (x *cachedSegment) open() bool { return x.segment.Next == "" }

func (x *cachedSegment) compact() bool { return x.byKey == nil }

// compacted returns a copy of the segment without its entries.
func (x *cachedSegment) compacted() *cachedSegment {
	c := &cachedSegment{id: x.id, version: x.version, bytes: x.bytes, keys: make([]keyID, 0, len(x.byKey))}
	c.segment = segment{Opened: x.segment.Opened, Next: x.segment.Next}
	for key := range x.byKey {
		c.keys = append(c.keys, parseKeyID(key))
	}
	slices.SortFunc(c.keys, compareKeys)
	return c
}

// contains reports whether the segment has an entry of a key. It also works on
// a compacted segment.
func (x *cachedSegment) contains(key string) bool {
	if x.compact() {
		_, ok := slices.BinarySearchFunc(x.keys, parseKeyID(key), compareKeys)
		return ok
	}
	_, ok := x.byKey[key]
	return ok
}

// find returns the newest entry of a key. A compacted segment has none.
func (x *cachedSegment) find(key string) (entry, bool) {
	i, ok := x.byKey[key]
	if !ok {
		return entry{}, false
	}
	return x.segment.Entries[i], true
}

// draft returns a copy to modify. Changes that are not yet written must not be
// made in the cached segment, where they would be taken as stored.
func (x *cachedSegment) draft() *cachedSegment {
	s := x.segment
	s.Entries = slices.Clone(s.Entries)
	return newCachedSegment(x.id, x.version, s, x.bytes)
}

func (x *cachedSegment) add(e entry) {
	x.byKey[e.Key] = len(x.segment.Entries)
	x.segment.Entries = append(x.segment.Entries, e)
	x.bytes += sizeOf(e)
}

// finish sets the outcome of a token. A second outcome is ignored, since
// repeats have been given the first one.
func (x *cachedSegment) finish(key, token string, o outcome) (found, changed bool) {
	i, ok := x.byKey[key]
	if !ok || x.segment.Entries[i].Token != token {
		return false, false
	}
	e := &x.segment.Entries[i]
	if e.Outcome != nil {
		return true, false
	}
	if x.bytes+len(o.Body)*4/3 > maxSegmentBytes {
		o.Body, o.Complete = nil, false
	}
	e.Outcome = &o
	x.bytes += sizeOf(o)
	return true, true
}

// parseKeyID parses the output of keyID.String. Other text, which only occurs
// in a damaged entry, gives the zero ID.
func parseKeyID(text string) keyID {
	var id keyID
	if b, err := hex.DecodeString(text); err == nil && len(b) == len(id) {
		copy(id[:], b)
	}
	return id
}

func compareKeys(a, b keyID) int { return bytes.Compare(a[:], b[:]) }

func sizeOf(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(data) + 1
}

func (s BodySum) encode() string { return base64.RawURLEncoding.EncodeToString(s[:]) }

// answerFor returns the answer to a claim with this body when the entry is
// already present. Free is true if the entry's request provably did not run.
func (e entry) answerFor(body string) (answer Answer, free bool) {
	switch {
	case e.Body != body:
		return Mismatch{RequestID: e.Request}, false
	case e.Outcome == nil:
		return Unknown{RequestID: e.Request}, false
	case e.Outcome.NotRun:
		return nil, true
	}
	return e.Outcome.toDone(e.Request), false
}

func (o *outcome) toDone(requestID string) Done {
	return Done{RequestID: requestID, Status: o.Status, ContentType: o.Type, Body: o.Body, Complete: o.Complete}
}
