// Package beechretry is described by its seam; see docs/DESIGN.md.
package beechretry
