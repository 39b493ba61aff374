package sidecar

import (
	"slices"
	"time"
)

// BackendProcess identifies one process of a backend server.
type BackendProcess struct {
	// ID is the ID that the backend server chose; its next process may use it again.
	ID string `json:"id"`
	// StartMillis is the start time of the process in Unix milliseconds; 0 if it reports none.
	StartMillis int64 `json:"start"`
}

func newBackendProcess(id string, startTime time.Time) BackendProcess {
	if startTime.IsZero() {
		return BackendProcess{ID: id}
	}
	return BackendProcess{ID: id, StartMillis: startTime.UnixMilli()}
}

// maxDepartures bounds the processes that an instance remembers as departed: one backend server runs beside it, and
// reports arrive seconds late.
const maxDepartures = 8

// Departures are processes of the backend server that have reported a drain or a leave, the latest last.
type Departures []BackendProcess

// contains reports whether a process has departed.
func (d Departures) contains(p BackendProcess) bool { return slices.Contains(d, p) }

// containsID reports whether a process with an ID has departed.
func (d Departures) containsID(id string) bool {
	return slices.ContainsFunc(d, func(p BackendProcess) bool { return p.ID == id })
}

// add adds a process, and drops the earliest one if there are too many. It reports whether the process is new.
func (d *Departures) add(p BackendProcess) bool {
	if d.contains(p) {
		return false
	}
	*d = append(*d, p)
	if len(*d) > maxDepartures {
		*d = slices.Clone((*d)[len(*d)-maxDepartures:])
	}
	return true
}

// WithEarlierDepartures returns the contact with departures that came before its own.
func (c Contact) WithEarlierDepartures(earlier Departures) Contact {
	var all Departures
	for _, p := range earlier {
		all.add(p)
	}
	for _, p := range c.Departed {
		all.add(p)
	}
	c.Departed = all
	return c
}
