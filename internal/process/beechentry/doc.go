// Package beechentry is described by its seam; see docs/DESIGN.md.
package beechentry
