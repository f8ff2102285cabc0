// Package beechqueue is described by its seam; see docs/DESIGN.md.
package beechqueue
