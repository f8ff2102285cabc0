// Package beechsuspect is described by its seam; see docs/DESIGN.md.
package beechsuspect
