// Package beechengine is described by its seam; see docs/DESIGN.md.
package beechengine
