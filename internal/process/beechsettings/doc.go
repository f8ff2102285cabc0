// Package beechsettings is described by its seam; see docs/DESIGN.md.
package beechsettings
