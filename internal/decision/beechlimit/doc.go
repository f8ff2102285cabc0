// Package beechlimit is described by its seam; see docs/DESIGN.md.
package beechlimit
