// Package beechfence is described by its seam; see docs/DESIGN.md.
package beechfence
