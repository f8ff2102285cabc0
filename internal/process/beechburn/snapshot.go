package beechburn

import (
	"errors"
	"fmt"
	"time"
)

var errNoSnapshot = errors.New("no snapshot to merge")

type (
	// Snapshot holds the counts of one process, or the sum of several. Entry hosts
	// send it to the burn command as JSON. Since is when the most recently started
	// of the processes started: windows that reach back further lack its share.
	Snapshot struct {
		At         time.Time  `json:"at"`
		Since      time.Time  `json:"since"`
		Hosts      int        `json:"hosts"`
		Objectives Objectives `json:"objectives"`
		All        Series     `json:"all"`
		Workspaces []Series   `json:"workspaces"`
	}

	// Series holds the windows of one workspace, or of the total.
	Series struct {
		Workspace string   `json:"workspace,omitempty"`
		Windows   []Window `json:"windows"`
	}

	// Window holds the counts of one window, and its latencies if they are kept.
	Window struct {
		Name string `json:"name"`
		Counts
		FirstTimes histogram `json:"first_times,omitempty"`
		TotalTimes histogram `json:"total_times,omitempty"`
	}
)

// Merge adds up the snapshots of several processes. It uses the objectives of
// the newest snapshot, since hosts may have different configurations for some
// seconds.
func Merge(snapshots []Snapshot) (Snapshot, error) {
	if len(snapshots) == 0 {
		return Snapshot{}, errNoSnapshot
	}
	merged := Snapshot{All: Series{Windows: emptyWindows()}}
	named := map[string]Series{}
	for _, s := range snapshots {
		if s.At.After(merged.At) || merged.Hosts == 0 {
			merged.At = s.At
			merged.Objectives = s.Objectives
		}
		if s.Since.After(merged.Since) {
			merged.Since = s.Since
		}
		merged.Hosts += s.Hosts
		if err := merged.All.merge(s.All); err != nil {
			return Snapshot{}, fmt.Errorf("merge burn over all: %w", err)
		}
		if err := mergeWorkspaces(named, s.Workspaces); err != nil {
			return Snapshot{}, err
		}
	}
	for _, s := range named {
		merged.Workspaces = append(merged.Workspaces, s)
	}
	sortByName(merged.Workspaces)
	return merged, nil
}

func mergeWorkspaces(into map[string]Series, from []Series) error {
	for _, s := range from {
		sum, ok := into[s.Workspace]
		if !ok {
			sum = Series{Workspace: s.Workspace, Windows: emptyWindows()}
		}
		if err := sum.merge(s); err != nil {
			return fmt.Errorf("merge burn of workspace %s: %w", s.Workspace, err)
		}
		into[s.Workspace] = sum
	}
	return nil
}

func emptyWindows() []Window {
	empty := make([]Window, windowCount)
	for i, w := range windows {
		empty[i].Name = w.name
	}
	return empty
}

// merge matches windows by name, so that a host of another version with other
// windows contributes those that both know.
func (s *Series) merge(o Series) error {
	for _, from := range o.Windows {
		for i := range s.Windows {
			if s.Windows[i].Name != from.Name {
				continue
			}
			if err := s.Windows[i].merge(from); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *Window) merge(o Window) error {
	first, err := w.FirstTimes.merge(o.FirstTimes)
	if err != nil {
		return err
	}
	total, err := w.TotalTimes.merge(o.TotalTimes)
	if err != nil {
		return err
	}
	w.Counts = w.add(o.Counts)
	w.FirstTimes = first
	w.TotalTimes = total
	return nil
}
