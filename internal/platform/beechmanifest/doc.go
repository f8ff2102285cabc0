// Package beechmanifest is described by its seam; see docs/DESIGN.md.
package beechmanifest
