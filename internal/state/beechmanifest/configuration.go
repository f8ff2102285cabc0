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
	// Configuration is one generation of a manifest with indexes for lookups. It is
	// immutable, and callers must not modify what it points to.
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

// maxDecodedPaths bounds how many variants of a path are checked, each decoded once more
// than the one before: the path may be decoded by an entry host, by the backend server
// and by another server behind that one.
const maxDecodedPaths = 4

// Compile indexes a manifest that Parse has accepted.
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

// WorkspaceByKey returns the workspace of a bearer key.
//
// The lookup uses the SHA-256 sum of the key, and the matching sum is compared in
// constant time. The timing of the lookup can reveal something about the sum of the
// key that was sent. As a key cannot be chosen to have a given sum, an attacker cannot
// use it to guess a key byte by byte.
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

// Workspace returns the workspace with a name.
func (c *Configuration) Workspace(name string) (*Workspace, bool) {
	w, ok := c.workspaces[name]
	return w, ok
}

// Model returns the model with a name.
func (c *Configuration) Model(name string) (*Model, bool) {
	m, ok := c.models[name]
	return m, ok
}

// Pool returns the pool with a name.
func (c *Configuration) Pool(name string) (*Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// Service returns the plain service with a name.
func (c *Configuration) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// PriorityRank returns the rank of a priority; 0 is the highest. An unknown priority ranks
// after all others.
func (c *Configuration) PriorityRank(name string) int {
	if i := slices.Index(c.Manifest.Priorities, name); i >= 0 {
		return i
	}
	return len(c.Manifest.Priorities)
}

// NonIdempotent reports whether a call of a service is not idempotent, so that it may not be
// repeated. The case of the method and the path is ignored, and all variants of the path
// are matched that a backend server might normalize to a path of a rule: repeating a call
// that is not idempotent could bill or ship twice.
func (c *Configuration) NonIdempotent(service, method, requestPath string) bool {
	s, ok := c.services[service]
	return ok && s.nonIdempotent(method, requestPath)
}

// AllowsModel reports whether the workspace may use a model.
func (w *Workspace) AllowsModel(name string) bool {
	return len(w.Models) == 0 || slices.Contains(w.Models, name)
}

// HasAdapter reports whether the model has an adapter. The empty name means no adapter
// and is valid for every model.
func (m *Model) HasAdapter(name string) bool {
	return name == "" || slices.Contains(m.Adapters, name)
}

// AllowsService reports whether the workspace may use a plain service.
func (w *Workspace) AllowsService(name string) bool {
	return len(w.Services) == 0 || slices.Contains(w.Services, name)
}

func (s *Service) nonIdempotent(method, requestPath string) bool {
	variants := pathVariants(requestPath)
	for _, r := range s.Once {
		if r.Method != "" && !strings.EqualFold(r.Method, method) {
			continue
		}
		prefix := strings.ToLower(r.Path)
		for _, variant := range variants {
			if strings.HasPrefix(variant, prefix) {
				return true
			}
		}
	}
	return false
}

// pathVariants returns the paths, in lower case, that a backend server might derive from
// a request path: the path itself and its repeated percent-decodings, each of them also
// without dot segments and double slashes, and with a trailing slash.
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
