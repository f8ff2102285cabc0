// Package beechrecord is described by its seam; see docs/DESIGN.md.
package beechrecord
