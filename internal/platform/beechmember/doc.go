// Package beechmember is described by its seam; see docs/DESIGN.md.
package beechmember
