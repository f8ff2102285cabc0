// Package beechindex is described by its seam; see docs/DESIGN.md.
package beechindex
