// Package beechlog is described by its seam; see docs/DESIGN.md.
package beechlog
