// Package beechstore is described by its seam; see docs/DESIGN.md.
package beechstore
