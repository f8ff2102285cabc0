// Package beechburn is described by its seam; see docs/DESIGN.md.
package beechburn
