// Package beechservice is described by its seam; see docs/DESIGN.md.
package beechservice
