// Package beechprefix is described by its seam; see docs/DESIGN.md.
package beechprefix
