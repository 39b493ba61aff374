package sidecar

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// said is one report or leave of a table.
type said struct {
	id       string
	born     int64 // Unix milliseconds, 0 for none
	sequence uint64
	draining bool
	leaves   bool
}

// TestResident plays what backend servers say of themselves, late and crossed, and looks at who may get work in the end.
func TestResident(t *testing.T) {
	for _, row := range []struct {
		name  string
		said  []said
		id    string
		takes bool
	}{
		{"nobody", nil, "", false},
		{"reports", []said{{id: "a", born: 1, sequence: 1}, {id: "a", born: 1, sequence: 2}}, "a", true},
		{"drains", []said{{id: "a", born: 1, sequence: 1}, {id: "a", born: 1, sequence: 2, draining: true}}, "a", false},
		{"late report after the drain", []said{{id: "a", born: 1, sequence: 1}, {id: "a", born: 1, sequence: 3, draining: true}, {id: "a", born: 1, sequence: 2}}, "a", false},
		{"ready again in the same start", []said{{id: "a", born: 1, sequence: 1, draining: true}, {id: "a", born: 1, sequence: 2}}, "a", false},
		{"leaves without draining", []said{{id: "a", born: 1, sequence: 1}, {id: "a", born: 1, leaves: true}}, "a", false},
		{"report that a leave overtook", []said{{id: "a", born: 1, sequence: 1}, {id: "a", born: 1, leaves: true}, {id: "a", born: 1, sequence: 2}}, "a", false},
		{"starts again under its id", []said{{id: "a", born: 1, sequence: 9, draining: true}, {id: "a", born: 2, sequence: 1}}, "a", true},
		{"starts again after it left", []said{{id: "a", born: 1, sequence: 9}, {id: "a", born: 1, leaves: true}, {id: "a", born: 2, sequence: 1}}, "a", true},
		{"leave of the start before", []said{{id: "a", born: 2, sequence: 1}, {id: "a", born: 1, leaves: true}}, "a", true},
		{"report of the start before", []said{{id: "a", born: 2, sequence: 1}, {id: "a", born: 1, sequence: 99, draining: true}}, "a", true},
		{"successor under another id", []said{{id: "a", born: 1, sequence: 9}, {id: "b", born: 2, sequence: 1}}, "b", true},
		{"report of the predecessor after a cut", []said{{id: "b", born: 2, sequence: 1}, {id: "a", born: 1, sequence: 10}}, "b", true},
		{"leave of the predecessor", []said{{id: "b", born: 2, sequence: 1}, {id: "a", born: 1, leaves: true}}, "b", true},
		{"leave without a start", []said{{id: "a", born: 1, sequence: 1}, {id: "a", leaves: true}}, "a", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var r BackendState
			for _, s := range row.said {
				var born time.Time
				if s.born != 0 {
					born = time.UnixMilli(s.born)
				}
				if s.leaves {
					r.Leave(s.id, born)
					continue
				}
				r.Apply(Report{ID: s.id, StartTime: born, Sequence: s.sequence, Draining: s.draining})
			}
			is.Equal(r.ID, row.id)
			is.Equal(r.AcceptsRequests(), row.takes)
		})
	}
}

// TestStandingFollowsTheAgeOfTheConfirmation covers both settings of what a stale instance does with keys.
func TestStandingFollowsTheAgeOfTheConfirmation(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, row := range []struct {
		name   string
		closed bool
		age    time.Duration
		acts   bool
	}{
		{"open, fresh", false, 0, true},
		{"open, stale", false, time.Hour, true},
		{"closed, fresh", true, time.Second, true},
		{"closed, at the bound", true, 5 * time.Second, true},
		{"closed, stale", true, 5*time.Second + time.Millisecond, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var c configuration
			c.confirm(now.Add(-row.age))
			b := DefaultBounds()
			b.FailClosed = row.closed
			is.Equal(c.standing(b, now) == nil, row.acts)
		})
	}
}
