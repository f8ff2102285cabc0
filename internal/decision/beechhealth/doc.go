// Package beechhealth is described by its seam; see docs/DESIGN.md.
package beechhealth
