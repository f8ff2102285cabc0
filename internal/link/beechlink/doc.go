// Package beechlink is described by its seam; see docs/DESIGN.md.
package beechlink
