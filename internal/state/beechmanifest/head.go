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
	// head is the value under HeadKey, which determines the published manifest.
	head struct {
		Generation uint64   `json:"generation"`
		Change     string   `json:"change"`            // random ID of the call of Publish
		Parts      []string `json:"parts"`             // SHA-256 sums; the first part is the base, the others hold workspaces
		Retired    []string `json:"retired,omitempty"` // sums of the parts of the previous head that this one does not have
		History    []Change `json:"history"`
	}

	// Change is an accepted generation in the history of a head.
	Change struct {
		Generation uint64    `json:"generation"`
		ID         string    `json:"change"`
		At         time.Time `json:"at"`
		Sum        string    `json:"sum"` // SHA-256 sum of the whole manifest
	}

	// part is a part of a manifest, identified by the SHA-256 sum of its content.
	part struct {
		sum  string
		data []byte
	}

	// MissingPart is the error if the head names a part that is not in the key-value
	// service.
	MissingPart struct {
		Generation uint64
		Sum        string
	}
)

const (
	// HeadKey is the key of the head of the published manifest.
	HeadKey = "manifest/head"

	partPrefix        = "manifest/part/"
	headFormat        = 1
	maxHistory        = 64
	workspacesPerPart = 64
	maxBuckets        = 1024
	changeIDBytes     = 16
)

// ErrNone is the error if no manifest has been published.
var ErrNone = errors.New("no manifest has been published")

// Error names the generation and the part.
func (e MissingPart) Error() string {
	return fmt.Sprintf("manifest generation %d: part %s is missing in the platform's key-value service", e.Generation, e.Sum)
}

func partKey(sum string) string { return partPrefix + sum }

func newChangeID() string {
	b := make([]byte, changeIDBytes)
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
	err := beechstore.DecodeValue(v.Key, v.Data, headFormat, &h)
	if err == nil && (h.Generation == 0 || len(h.Parts) == 0) {
		err = beechstore.CorruptValue{Key: v.Key, Err: errors.New("it has no generation or no parts")}
	}
	return h, err
}

// canonical returns the manifest with its workspaces sorted by name. Their order has no
// meaning, and sorted ones give different parts only where the manifests differ.
func canonical(m *Manifest) *Manifest {
	n := *m
	n.Workspaces = slices.Clone(m.Workspaces)
	slices.SortFunc(n.Workspaces, func(a, b Workspace) int { return cmp.Compare(a.Name, b.Name) })
	return &n
}

// split divides a canonical manifest into parts. The first part holds everything except
// the workspaces. The others are buckets of workspaces by the hash of their names, so that
// a change of one workspace changes one small part.
func split(m *Manifest) ([]part, error) {
	base := *m
	base.Workspaces = nil
	parts := make([]part, 0, 1+len(m.Workspaces)/workspacesPerPart)
	p, err := newPart(base)
	if err != nil {
		return nil, err
	}
	parts = append(parts, p)
	for _, bucket := range bucketWorkspaces(m.Workspaces) {
		p, err := newPart(bucket)
		if err != nil {
			return nil, err
		}
		parts = append(parts, p)
	}
	return parts, nil
}

// bucketWorkspaces returns the non-empty buckets out of a power of two of them.
func bucketWorkspaces(workspaces []Workspace) [][]Workspace {
	n := 1
	for n*workspacesPerPart < len(workspaces) && n < maxBuckets {
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

// join is the inverse of split.
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
	return canonical(&m), nil
}
