// Package beechbackend is described by its seam; see docs/DESIGN.md.
package beechbackend
