// Package beechroute is described by its seam; see docs/DESIGN.md.
package beechroute
