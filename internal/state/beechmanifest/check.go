package beechmanifest

import (
	"fmt"
	"strings"
	"time"
)

// checker collects the problems that the schema cannot detect, most of them references
// between fields.
type checker struct {
	manifest *Manifest
	problems []Problem
}

// maxNamesShown bounds the list of allowed names in an error message.
const maxNamesShown = 10

func checkConsistency(m *Manifest) []Problem {
	c := &checker{manifest: m}
	c.targets()
	c.priorities()
	c.uniqueNames()
	c.uniqueKeys()
	c.workspaces()
	c.pools()
	return c.problems
}

func (c *checker) add(field, wrong, allowed string) {
	c.problems = append(c.problems, Problem{Field: field, Wrong: wrong, Allowed: allowed})
}

func (c *checker) targets() {
	if c.manifest.Targets.FirstToken <= 0 {
		c.add("targets/firstToken", time.Duration(c.manifest.Targets.FirstToken).String(), "a duration above 0")
	}
}

func (c *checker) priorities() {
	if len(c.manifest.Priorities) == 0 {
		c.add("priorities", "is empty", "a list of 1 to 16 names, the first served first")
	}
}

func (c *checker) uniqueNames() {
	m := c.manifest
	c.requireUnique("models", "name", modelNames(m))
	c.requireUnique("priorities", "", m.Priorities)
	c.requireUnique("workspaces", "name", workspaceNames(m))
	c.requireUnique("pools", "name", poolNames(m))
	c.requireUnique("services", "name", serviceNames(m))
}

func (c *checker) requireUnique(list, field string, names []string) {
	first := make(map[string]int, len(names))
	for i, n := range names {
		at, ok := first[n]
		if !ok {
			first[n] = i
			continue
		}
		path := fmt.Sprintf("%s/%d", list, i)
		if field != "" {
			path += "/" + field
		}
		c.add(path, fmt.Sprintf("%q is at %s/%d already", n, list, at), "each name once")
	}
}

// uniqueKeys checks that each key occurs once. A key identifies its workspace, so with a
// duplicate the callers of one workspace would get the limits and the cache of another.
func (c *checker) uniqueKeys() {
	first := map[string]string{}
	for i, w := range c.manifest.Workspaces {
		for j, key := range w.Keys {
			path := fmt.Sprintf("workspaces/%d/keys/%d", i, j)
			if at, ok := first[key]; ok {
				c.add(path, "the same key is at "+at, "each key in one workspace")
				continue
			}
			first[key] = path
		}
	}
}

func (c *checker) workspaces() {
	priorities, models, services := setOf(c.manifest.Priorities), setOf(modelNames(c.manifest)), setOf(serviceNames(c.manifest))
	for i, w := range c.manifest.Workspaces {
		path := fmt.Sprintf("workspaces/%d", i)
		c.requireKnown(path+"/priority", "priority", w.Priority, priorities, c.manifest.Priorities)
		c.requireAllKnown(path+"/models", "model", w.Models, models, modelNames(c.manifest))
		c.requireAllKnown(path+"/services", "service", w.Services, services, serviceNames(c.manifest))
	}
}

func (c *checker) pools() {
	models, services := setOf(modelNames(c.manifest)), setOf(serviceNames(c.manifest))
	for i, p := range c.manifest.Pools {
		path := fmt.Sprintf("pools/%d", i)
		c.requireAllKnown(path+"/models", "model", p.Models, models, modelNames(c.manifest))
		switch p.Kind {
		case KindEngine:
			if p.Service != "" {
				c.add(path+"/service", fmt.Sprintf("%q on a pool of engines", p.Service), "no service where kind is engine")
			}
			if len(p.Models) == 0 {
				c.add(path+"/models", "is empty on a pool of engines", "at least one model where kind is engine")
			}
		case KindService:
			if len(p.Models) > 0 {
				c.add(path+"/models", "is set on a pool of a plain service", "no models where kind is service")
			}
			c.requireKnown(path+"/service", "service", p.Service, services, serviceNames(c.manifest))
		default:
			c.add(path+"/kind", fmt.Sprintf("%q", p.Kind), "engine or service")
		}
	}
}

func (c *checker) requireAllKnown(path, what string, names []string, known map[string]bool, all []string) {
	for i, n := range names {
		c.requireKnown(fmt.Sprintf("%s/%d", path, i), what, n, known, all)
	}
}

func (c *checker) requireKnown(path, what, name string, known map[string]bool, all []string) {
	if known[name] {
		return
	}
	c.add(path, fmt.Sprintf("%q is not the name of a %s", name, what), oneOf(all))
}

func oneOf(names []string) string {
	if len(names) == 0 {
		return "no name, since the manifest defines none"
	}
	if len(names) > maxNamesShown {
		return fmt.Sprintf("one of %s and %d more", strings.Join(names[:maxNamesShown], ", "), len(names)-maxNamesShown)
	}
	return "one of " + strings.Join(names, ", ")
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[n] = true
	}
	return set
}

func modelNames(m *Manifest) []string {
	return namesOf(m.Models, func(x Model) string { return x.Name })
}

func workspaceNames(m *Manifest) []string {
	return namesOf(m.Workspaces, func(x Workspace) string { return x.Name })
}

func poolNames(m *Manifest) []string {
	return namesOf(m.Pools, func(x Pool) string { return x.Name })
}

func serviceNames(m *Manifest) []string {
	return namesOf(m.Services, func(x Service) string { return x.Name })
}

func namesOf[T any](list []T, name func(T) string) []string {
	names := make([]string, 0, len(list))
	for _, x := range list {
		names = append(names, name(x))
	}
	return names
}
