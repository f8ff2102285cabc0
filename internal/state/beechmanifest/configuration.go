package beechmanifest

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/url"
	"path"
	"slices"
	"strings"
)

type (
	// Configuration is a manifest at a generation, ready for look-ups. It is
	// never changed; what it points at is not to be changed either.
	Configuration struct {
		Generation uint64
		Manifest   *Manifest

		keys       map[keySum]*Workspace
		workspaces map[string]*Workspace
		models     map[string]*Model
		pools      map[string]*Pool
		services   map[string]*Service
	}

	keySum [sha256.Size]byte
)

// maxDecodedPaths bounds how often a path is decoded: once by an entry host, once
// by a server, and once more for a server behind it.
const maxDecodedPaths = 4

// Compile makes the look-ups of a manifest that Parse has accepted.
func Compile(m *Manifest, generation uint64) *Configuration {
	c := &Configuration{
		Generation: generation,
		Manifest:   m,
		keys:       make(map[keySum]*Workspace, len(m.Workspaces)),
		workspaces: make(map[string]*Workspace, len(m.Workspaces)),
		models:     make(map[string]*Model, len(m.Models)),
		pools:      make(map[string]*Pool, len(m.Pools)),
		services:   make(map[string]*Service, len(m.Services)),
	}
	for i := range m.Workspaces {
		c.addWorkspace(&m.Workspaces[i])
	}
	for i := range m.Models {
		c.models[m.Models[i].Name] = &m.Models[i]
	}
	for i := range m.Pools {
		c.pools[m.Pools[i].Name] = &m.Pools[i]
	}
	for i := range m.Services {
		c.services[m.Services[i].Name] = &m.Services[i]
	}
	return c
}

func (c *Configuration) addWorkspace(w *Workspace) {
	c.workspaces[w.Name] = w
	for _, k := range w.Keys {
		var sum keySum
		if n, err := hex.Decode(sum[:], []byte(k)); err == nil && n == len(sum) {
			c.keys[sum] = w
		}
	}
}

// WorkspaceByKey gives the workspace of a bearer key.
//
// The look-up is by the key's SHA-256, and the sum found is compared in
// constant time. What the time of a look-up shows is something about the sum
// of the key that was sent, and nobody can choose a key for the sum it will
// have, so a wrong key cannot be improved byte by byte.
func (c *Configuration) WorkspaceByKey(bearerKey string) (*Workspace, bool) {
	sum := keySum(sha256.Sum256([]byte(bearerKey)))
	w, ok := c.keys[sum]
	if !ok {
		return nil, false
	}
	for _, k := range w.Keys {
		if subtle.ConstantTimeCompare([]byte(k), []byte(hex.EncodeToString(sum[:]))) == 1 {
			return w, true
		}
	}
	return nil, false
}

// Workspace finds a workspace by name.
func (c *Configuration) Workspace(name string) (*Workspace, bool) {
	w, ok := c.workspaces[name]
	return w, ok
}

// Model finds a model by name.
func (c *Configuration) Model(name string) (*Model, bool) {
	m, ok := c.models[name]
	return m, ok
}

// Pool finds a pool by name.
func (c *Configuration) Pool(name string) (*Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// Service finds a plain service by name.
func (c *Configuration) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// PriorityRank gives the rank of a priority, 0 served first; an unknown one is
// served last.
func (c *Configuration) PriorityRank(name string) int {
	if i := slices.Index(c.Manifest.Priorities, name); i >= 0 {
		return i
	}
	return len(c.Manifest.Priorities)
}

// NonIdempotent tells whether a call of a service may not be repeated. A call that a
// backend server might read as one that may not be repeated is taken for one,
// however its path and method are spelt: the wrong guess here bills or ships
// twice.
func (c *Configuration) NonIdempotent(service, method, requestPath string) bool {
	s, ok := c.services[service]
	return ok && s.nonIdempotent(method, requestPath)
}

// AllowsModel tells whether the workspace may use a model.
func (w *Workspace) AllowsModel(name string) bool {
	return len(w.Models) == 0 || slices.Contains(w.Models, name)
}

// HasAdapter tells whether the model has an adapter; every model has the empty
// one.
func (m *Model) HasAdapter(name string) bool {
	return name == "" || slices.Contains(m.Adapters, name)
}

// AllowsService tells whether the workspace may use a plain service.
func (w *Workspace) AllowsService(name string) bool {
	return len(w.Services) == 0 || slices.Contains(w.Services, name)
}

func (s *Service) nonIdempotent(method, requestPath string) bool {
	spellings := pathVariants(requestPath)
	for _, r := range s.Once {
		if r.Method != "" && !strings.EqualFold(r.Method, method) {
			continue
		}
		prefix := strings.ToLower(r.Path)
		for _, path := range spellings {
			if strings.HasPrefix(path, prefix) {
				return true
			}
		}
	}
	return false
}

// pathVariants gives the paths that a backend server might read: as it came,
// with its percent signs decoded, more than once if need be, and each without
// dots and double slashes; all in lower case.
func pathVariants(requestPath string) []string {
	var all []string
	for range maxDecodedPaths {
		lower := strings.ToLower(requestPath)
		clean := path.Clean("/" + lower)
		all = append(all, lower, clean, clean+"/")
		decoded, err := url.PathUnescape(requestPath)
		if err != nil || decoded == requestPath {
			break
		}
		requestPath = decoded
	}
	return all
}
