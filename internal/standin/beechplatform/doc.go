// Package beechplatform is described by its seam; see docs/DESIGN.md.
package beechplatform
