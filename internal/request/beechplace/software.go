package beechplace

import "github.com/beechring/beechring/internal/request/beechcall"

// softwareVersion returns the version of the server's software. It is empty after a restart under
// the same ID until the server has written its entry again: the entry may be of the lifetime before,
// which may have had other software.
func (s *server) softwareVersion() string {
	if s.softwareInDoubt {
		return ""
	}
	return s.Server.Software
}

// observeEntry decides whether an entry, which is about to replace the server's last one, is of the
// current lifetime.
func (s *server) observeEntry(entry beechcall.Server) {
	switch {
	case entry.Born != 0:
		s.softwareInDoubt = entry.Born < s.Born
	case s.softwareInDoubt && entry.Revision > s.Revision:
		s.softwareInDoubt = false
	}
}
