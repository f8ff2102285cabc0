package beechservice

import (
	"encoding/json"
	"net/http"
	"time"
)

// Pause returns PauseMillis as a duration.
func (f Fault) Pause() time.Duration {
	return time.Duration(f.PauseMillis) * time.Millisecond
}

// Inject injects a fault. It returns false if the kind is unknown.
func (s *Service) Inject(f Fault) bool {
	switch f.Kind {
	case FaultCrash:
		s.crash(f.Pause())
	case FaultFreeze:
		s.freeze(f.Pause())
	case FaultThaw:
		s.thaw()
	case FaultDropReply:
		s.setCount(&s.dropReply, f.Count)
	case FaultBusy:
		s.setCount(&s.busy, f.Count)
	default:
		return false
	}
	return true
}

func (s *Service) setCount(count *int, value int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*count = value
}

func (s *Service) crash(pause time.Duration) {
	if pause <= 0 {
		pause = s.settings.CrashPause
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.down = true
	close(s.crashed)
	s.clock.AfterFunc(pause, s.restart)
}

func (s *Service) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	s.crashed = make(chan struct{})
}

func (s *Service) freeze(pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen == nil {
		s.frozen = make(chan struct{})
	}
	if pause > 0 {
		s.clock.AfterFunc(pause, s.thaw)
	}
}

func (s *Service) thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen != nil {
		close(s.frozen)
		s.frozen = nil
	}
}

func (s *Service) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.Inject(f) {
		http.Error(w, "no such fault: "+string(f.Kind), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
