package beechburn

import (
	"errors"
	"fmt"
	"time"
)

// errNoSnapshot is a merge of nothing.
var errNoSnapshot = errors.New("no snapshot to merge")

type (
	// Snapshot is what one process has counted, or several together. Its JSON
	// is what entry hosts hand to the burn command. Since is when the youngest
	// of the processes started: windows that reach back further miss its share.
	Snapshot struct {
		At         time.Time  `json:"at"`
		Since      time.Time  `json:"since"`
		Hosts      int        `json:"hosts"`
		Objectives Objectives `json:"objectives"`
		All        Series     `json:"all"`
		Workspaces []Series   `json:"workspaces"`
	}

	// Series is one workspace's windows, or those over all.
	Series struct {
		Workspace string   `json:"workspace,omitempty"`
		Windows   []Window `json:"windows"`
	}

	// Window is what was counted in one span, with its latencies where they
	// are kept.
	Window struct {
		Name string `json:"name"`
		Counts
		FirstTimes histogram `json:"first_times,omitempty"`
		TotalTimes histogram `json:"total_times,omitempty"`
	}
)

// Merge adds up the snapshots of several processes. Objectives are those of the
// newest, since hosts may for some seconds have different configurations.
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
		if err := mergeNamed(named, s.Workspaces); err != nil {
			return Snapshot{}, err
		}
	}
	for _, s := range named {
		merged.Workspaces = append(merged.Workspaces, s)
	}
	sortByName(merged.Workspaces)
	return merged, nil
}

func mergeNamed(into map[string]Series, from []Series) error {
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

// merge goes by the windows' names, so that a host of another version with
// other windows adds what both know.
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
