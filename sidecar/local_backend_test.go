package sidecar

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// message is one report or leave call of a backend server.
type message struct {
	id        string
	startTime int64 // in Unix milliseconds; 0 means that the message has none
	sequence  uint64
	draining  bool
	leaves    bool
}

// TestBackendState applies reports and leave calls that arrive late or out of order, and checks which backend server is
// known in the end and whether it accepts requests.
func TestBackendState(t *testing.T) {
	for _, row := range []struct {
		name     string
		messages []message
		id       string
		accepts  bool
	}{
		{"no report", nil, "", false},
		{"reports", []message{{id: "a", startTime: 1, sequence: 1}, {id: "a", startTime: 1, sequence: 2}}, "a", true},
		{"reports a drain", []message{{id: "a", startTime: 1, sequence: 1}, {id: "a", startTime: 1, sequence: 2, draining: true}}, "a", false},
		{"late report after a drain", []message{{id: "a", startTime: 1, sequence: 1}, {id: "a", startTime: 1, sequence: 3, draining: true}, {id: "a", startTime: 1, sequence: 2}}, "a", false},
		{"ready again in the same process", []message{{id: "a", startTime: 1, sequence: 1, draining: true}, {id: "a", startTime: 1, sequence: 2}}, "a", false},
		{"leaves without a drain", []message{{id: "a", startTime: 1, sequence: 1}, {id: "a", startTime: 1, leaves: true}}, "a", false},
		{"report that arrives after a later leave", []message{{id: "a", startTime: 1, sequence: 1}, {id: "a", startTime: 1, leaves: true}, {id: "a", startTime: 1, sequence: 2}}, "a", false},
		{"restarts with the same ID", []message{{id: "a", startTime: 1, sequence: 9, draining: true}, {id: "a", startTime: 2, sequence: 1}}, "a", true},
		{"restarts after it left", []message{{id: "a", startTime: 1, sequence: 9}, {id: "a", startTime: 1, leaves: true}, {id: "a", startTime: 2, sequence: 1}}, "a", true},
		{"leave of the previous process", []message{{id: "a", startTime: 2, sequence: 1}, {id: "a", startTime: 1, leaves: true}}, "a", true},
		{"report of the previous process", []message{{id: "a", startTime: 2, sequence: 1}, {id: "a", startTime: 1, sequence: 99, draining: true}}, "a", true},
		{"successor with another ID", []message{{id: "a", startTime: 1, sequence: 9}, {id: "b", startTime: 2, sequence: 1}}, "b", true},
		{"late report of the predecessor", []message{{id: "b", startTime: 2, sequence: 1}, {id: "a", startTime: 1, sequence: 10}}, "b", true},
		{"leave of the predecessor", []message{{id: "b", startTime: 2, sequence: 1}, {id: "a", startTime: 1, leaves: true}}, "b", true},
		{"leave without a start time", []message{{id: "a", startTime: 1, sequence: 1}, {id: "a", leaves: true}}, "a", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var state BackendState
			for _, m := range row.messages {
				var startTime time.Time
				if m.startTime != 0 {
					startTime = time.UnixMilli(m.startTime)
				}
				if m.leaves {
					state.Leave(m.id, startTime)
					continue
				}
				state.Apply(Report{ID: m.id, StartTime: startTime, Sequence: m.sequence, Draining: m.draining})
			}
			is.Equal(state.ID, row.id)
			is.Equal(state.AcceptsRequests(), row.accepts)
		})
	}
}

// TestFreshnessDependsOnTheAgeOfTheConfirmation covers failing open and failing closed.
func TestFreshnessDependsOnTheAgeOfTheConfirmation(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, row := range []struct {
		name       string
		failClosed bool
		age        time.Duration
		fresh      bool
	}{
		{"fail open, fresh", false, 0, true},
		{"fail open, stale", false, time.Hour, true},
		{"fail closed, fresh", true, time.Second, true},
		{"fail closed, at the bound", true, 5 * time.Second, true},
		{"fail closed, stale", true, 5*time.Second + time.Millisecond, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var c configurationManager
			c.confirm(now.Add(-row.age))
			b := DefaultBounds()
			b.FailClosed = row.failClosed
			is.Equal(c.checkFreshness(b, now) == nil, row.fresh)
		})
	}
}
