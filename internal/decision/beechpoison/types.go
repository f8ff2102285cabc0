package beechpoison

import "time"

type (
	// Trait is something that requests may have in common. Key is the same in all processes; 0 is
	// none. Of two traits that were at the same crashes, the one with the higher Rank is blamed.
	Trait struct {
		Key  uint64
		Rank int
	}

	// Request is what a tracker needs to know of a request.
	Request struct {
		Traits    []Trait
		Workspace uint32 // hash of its name
	}

	// Verdict is the answer to Check: Allow, Trial or Refuse.
	Verdict interface{ verdict() }

	// Allow lets the request run.
	Allow struct{}

	// Trial means that the request may run as a trial of these traits if BeginTrial agrees.
	Trial struct{ keys []uint64 }

	// Refuse rejects the request before it runs. It may be retried after After. Key is the trait
	// that is blamed.
	Refuse struct {
		After time.Duration
		Key   uint64
	}

	// Suspect is a trait of a request of a workspace whose answer had not begun when its server
	// crashed.
	Suspect struct {
		Trait
		Workspace uint32
	}

	// Crash is a crash of a server.
	Crash struct {
		Server   uint64 // hash of its ID
		Age      time.Duration
		Suspects []Suspect
	}

	// Event is something that happened to a trait.
	Event struct {
		Key uint64
		Age time.Duration
	}

	// Update is what one process tells another.
	Update struct {
		Crashes []Crash
		Starts  []Event // answers to requests with the trait have begun
		Trials  []Event // a request with the trait was let through as a trial
	}

	// Origin is where something was seen.
	Origin int

	// Audience is to whom an update is sent.
	Audience int

	// Blame describes a blamed trait, for logs and metrics.
	Blame struct {
		Key        uint64
		Moments    int           // at which servers crashed
		Servers    int           // that crashed
		Workspaces int           // whose requests were there
		First      time.Duration // since the first of these crashes
		Last       time.Duration // since the last one
		Until      time.Duration // until a trial
	}

	// Counts are the numbers that a tracker publishes.
	Counts struct {
		Crashes int // known
		Suspect int // traits without an answer since a crash
		Blamed  []Blame
		Refused int64 // requests, since the process started
		Trials  int64 // of this process
		Cleared int64 // traits that were blamed, and then had an answer
	}
)

// The origins of what a tracker knows.
const (
	Own       Origin = iota // this process
	Zone                    // a process of this availability zone
	Elsewhere               // a process of another one
)

// The audiences of updates.
const (
	Collector Audience = iota // what this process saw
	Near                      // this zone: everything
	Far                       // other zones: what was seen in this one
)

func (Allow) verdict()  {}
func (Trial) verdict()  {}
func (Refuse) verdict() {}

// IsEmpty reports whether there is nothing to tell.
func (u Update) IsEmpty() bool { return len(u.Crashes)+len(u.Starts)+len(u.Trials) == 0 }
