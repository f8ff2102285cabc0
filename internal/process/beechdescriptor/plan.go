// Package beechdescriptor plans what a process's descriptors are used for, so that callers cannot take
// those that it needs to serve them.
//
// # Usage
//
//	plan, err := beechdescriptor.New(settings.Descriptors, settings.Memory)
//	log.Info("descriptors", zap.Int("limit", plan.Limit), zap.Int("callers", plan.Open))
package beechdescriptor

import (
	"fmt"
	"math"

	"golang.org/x/sys/unix"
)

// Plan divides the descriptors of a process.
type Plan struct {
	Limit   int // of the process
	Open    int // callers' connections that are served
	Waiting int // callers' connections that were accepted and are not served yet
}

const (
	// maxReserve is for files, listeners and what else has descriptors beside connections.
	maxReserve   = 200
	reserveShare = 4 // of a low limit, one part

	// callerShare tenths of the rest are for callers; the others for servers, the store and other processes
	// of the system.
	callerShare  = 6
	waitingShare = 4 // of those for callers, one part may wait to be served
	maxWaiting   = 512

	// connectionBytes is the memory that an idle connection takes. Connections alone may take one part in
	// memoryShare.
	connectionBytes = 10 << 10
	memoryShare     = 6
	megabyte        = 1 << 20
)

// New returns the plan for a process that may use so many descriptors and megabytes; 0 means that these are
// not told. The limit that the system has set on the process holds in any case.
func New(descriptors, megabytes int) (Plan, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return Plan{}, fmt.Errorf("read limit of descriptors: %w", err)
	}
	system := int(min(limit.Cur, math.MaxInt32))
	if descriptors <= 0 || descriptors > system {
		descriptors = system
	}
	return divide(descriptors, megabytes), nil
}

func divide(descriptors, megabytes int) Plan {
	connections := descriptors - min(maxReserve, descriptors/reserveShare)
	callers := connections * callerShare / 10
	p := Plan{Limit: descriptors, Waiting: max(1, min(maxWaiting, callers/waitingShare))}
	p.Open = max(1, callers-p.Waiting)
	if megabytes > 0 {
		p.Open = max(1, min(p.Open, megabytes*megabyte/memoryShare/connectionBytes))
	}
	return p
}
