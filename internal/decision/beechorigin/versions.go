package beechorigin

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	// Versions tracks which versions of each service's software have served recently. It is safe
	// for concurrent use.
	Versions struct {
		clock clockwork.Clock

		mu       sync.Mutex
		lifetime time.Duration
		services map[string]*serviceVersions
	}

	serviceVersions struct {
		since  time.Time            // when the service was first listed
		listed map[string]bool      // now
		seen   map[string]time.Time // when a version that is not listed now was last known to serve
	}
)

// NewVersions returns a tracker without services.
func NewVersions(clock clockwork.Clock) *Versions {
	return &Versions{clock: clock, lifetime: DefaultLifetime, services: make(map[string]*serviceVersions)}
}

// SetLifetime sets for how long a stream can be resumed after its beginning.
func (v *Versions) SetLifetime(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lifetime = d
}

// SetListed replaces the versions of the servers that are listed, by service. It returns the
// services that had other versions before and have a new one.
func (v *Versions) SetListed(listed map[string][]string) (changed []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	for name, s := range v.services {
		for version := range s.listed {
			s.seen[version] = now
		}
		s.listed = nil
		if len(listed[name]) == 0 {
			s.expire(now, v.lifetime)
		}
	}
	for name, versions := range listed {
		s := v.service(name, now)
		hadVersions := len(s.seen) > 0
		s.listed = make(map[string]bool, len(versions))
		isNew := false
		for _, version := range versions {
			_, known := s.seen[version]
			isNew = isNew || hadVersions && !known && !s.listed[version]
			s.listed[version] = true
		}
		s.expire(now, v.lifetime)
		if isNew {
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	return changed
}

// Lifetime returns for how long a stream can be resumed after its beginning.
func (v *Versions) Lifetime() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lifetime
}

// Heard records that a version of a service serves or has just served, by another gate's word or by a change that later
// ones may have undone. It returns whether the version is new here.
func (v *Versions) Heard(service, version string) bool {
	if len(service) > maxNameBytes || len(version) > maxNameBytes {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	s, ok := v.services[service]
	if !ok {
		s = v.service(service, now)
	}
	_, known := s.seen[version]
	known = known || s.listed[version]
	s.seen[version] = now
	return ok && !known
}

// Only returns the version of a service, if it has had no other for as long as a stream can be
// resumed.
func (v *Versions) Only(service string) (version string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s, known := v.services[service]
	now := v.clock.Now()
	if !known || now.Sub(s.since) < v.lifetime {
		return "", false
	}
	s.expire(now, v.lifetime)
	versions := s.recent()
	if len(versions) != 1 || versions[0] == "" {
		return "", false
	}
	return versions[0], true
}

// Recent returns the versions of a service that serve or have served within the lifetime, sorted.
func (v *Versions) Recent(service string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	s, known := v.services[service]
	if !known {
		return nil
	}
	s.expire(v.clock.Now(), v.lifetime)
	return s.recent()
}

func (v *Versions) service(name string, now time.Time) *serviceVersions {
	s, ok := v.services[name]
	if !ok {
		s = &serviceVersions{since: now, seen: make(map[string]time.Time)}
		v.services[name] = s
	}
	return s
}

func (s *serviceVersions) expire(now time.Time, lifetime time.Duration) {
	for version, at := range s.seen {
		if now.Sub(at) >= lifetime {
			delete(s.seen, version)
		}
	}
}

func (s *serviceVersions) recent() []string {
	versions := make([]string, 0, len(s.listed)+len(s.seen))
	for version := range s.listed {
		versions = append(versions, version)
	}
	for version := range s.seen {
		versions = append(versions, version)
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}
