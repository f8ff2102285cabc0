package beechmanifest

import (
	"cmp"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	// head is the one value that says which manifest is published.
	head struct {
		Generation uint64   `json:"generation"`
		Change     string   `json:"change"` // random, one for each Publish
		Parts      []string `json:"parts"`  // sums; the first is the base, the others workspaces
		Retired    []string `json:"retired,omitempty"`
		History    []Change `json:"history"`
	}

	// Change is one accepted generation in the history.
	Change struct {
		Generation uint64    `json:"generation"`
		ID         string    `json:"change"`
		At         time.Time `json:"at"`
		Sum        string    `json:"sum"` // SHA-256 of the whole manifest
	}

	// part is a piece of a manifest under the hash of its content.
	part struct {
		sum  string
		data []byte
	}

	// MissingPart says that the head names a part that is not in the service.
	MissingPart struct {
		Generation uint64
		Sum        string
	}
)

const (
	// HeadKey is the key of the published manifest's head.
	HeadKey = "manifest/head"

	partPrefix       = "manifest/part/"
	format           = 1
	historyKept      = 64
	workspacesInPart = 64
	maxBuckets       = 1024
	changeBytes      = 16
)

// ErrNone says that no manifest has been published.
var ErrNone = errors.New("no manifest has been published")

// Error gives the generation and the part.
func (e MissingPart) Error() string {
	return fmt.Sprintf("manifest generation %d: its part %s is missing in the platform's service", e.Generation, e.Sum)
}

func partKey(sum string) string { return partPrefix + sum }

func newChange() string {
	b := make([]byte, changeBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func sumOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func decodeHead(v beechstore.Value) (head, error) {
	if v.Version == 0 {
		return head{}, ErrNone
	}
	var h head
	err := beechstore.DecodeValue(v.Key, v.Data, format, &h)
	if err == nil && (h.Generation == 0 || len(h.Parts) == 0) {
		err = beechstore.CorruptValue{Key: v.Key, Err: errors.New("it names no generation or no part")}
	}
	return h, err
}

// normal is the manifest with its workspaces in the order of their names:
// the order says nothing, and parts made of it then differ only where the
// manifest does.
func normal(m *Manifest) *Manifest {
	n := *m
	n.Workspaces = slices.Clone(m.Workspaces)
	slices.SortFunc(n.Workspaces, func(a, b Workspace) int { return cmp.Compare(a.Name, b.Name) })
	return &n
}

// cut divides a normal manifest: everything but the workspaces is the first
// part, the workspaces go by the hash of their names into a power of two of
// buckets, so that a change of one workspace changes one small part.
func cut(m *Manifest) ([]part, error) {
	base := *m
	base.Workspaces = nil
	parts := make([]part, 0, 1+len(m.Workspaces)/workspacesInPart)
	p, err := newPart(base)
	if err != nil {
		return nil, err
	}
	parts = append(parts, p)
	for _, bucket := range bucketsOf(m.Workspaces) {
		p, err := newPart(bucket)
		if err != nil {
			return nil, err
		}
		parts = append(parts, p)
	}
	return parts, nil
}

func bucketsOf(workspaces []Workspace) [][]Workspace {
	n := 1
	for n*workspacesInPart < len(workspaces) && n < maxBuckets {
		n *= 2
	}
	buckets := make([][]Workspace, n)
	for _, w := range workspaces {
		i := xxh3.HashString(w.Name) % uint64(n)
		buckets[i] = append(buckets[i], w)
	}
	return slices.DeleteFunc(buckets, func(b []Workspace) bool { return len(b) == 0 })
}

func newPart(content any) (part, error) {
	data, err := json.Marshal(content)
	if err != nil {
		return part{}, fmt.Errorf("encode a part of a manifest: %w", err)
	}
	if len(data) > beechstore.MaxValueBytes {
		return part{}, fmt.Errorf("a part of the manifest has %d bytes; allowed: at most %d", len(data), beechstore.MaxValueBytes)
	}
	return part{sum: sumOf(data), data: data}, nil
}

// join is the reverse of cut.
func join(parts []part) (*Manifest, error) {
	var m Manifest
	for i, p := range parts {
		if i == 0 {
			if err := json.Unmarshal(p.data, &m); err != nil {
				return nil, beechstore.CorruptValue{Key: partKey(p.sum), Err: err}
			}
			continue
		}
		var workspaces []Workspace
		if err := json.Unmarshal(p.data, &workspaces); err != nil {
			return nil, beechstore.CorruptValue{Key: partKey(p.sum), Err: err}
		}
		m.Workspaces = append(m.Workspaces, workspaces...)
	}
	return normal(&m), nil
}
