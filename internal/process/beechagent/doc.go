// Package beechagent is described by its seam; see docs/DESIGN.md.
package beechagent
