// Package beechload is described by its seam; see docs/DESIGN.md.
package beechload
