package sidecar

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/result"
)

// message is one report or leave call of a backend server.
type message struct {
	id        string
	startTime int64 // in Unix milliseconds; 0 means that the message has none
	sequence  uint64
	draining  bool
	leaves    bool
	after     time.Duration // since the message before
}

// testClaimPeriod is the time between two reports that confirm a process in these tests.
const testClaimPeriod = 2 * time.Second

// play applies messages one after the other, and returns the error of the last one.
func play(state *BackendState, messages []message) (err error) {
	now := time.Unix(1000, 0)
	for _, m := range messages {
		now = now.Add(m.after)
		if m.leaves {
			_, _, err = state.Leave(now, m.id, m.start())
		} else {
			_, err = state.Apply(now, Report{ID: m.id, StartTime: m.start(), Sequence: m.sequence, Draining: m.draining})
		}
	}
	return err
}

// start returns the start time of the process.
func (m message) start() time.Time {
	if m.startTime == 0 {
		return time.Time{}
	}
	return time.UnixMilli(m.startTime)
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
		{"restarts with the same ID", []message{{id: "a", startTime: 1, sequence: 9}, {id: "a", startTime: 2, sequence: 1}}, "a", true},
		{"restarts with the same ID after a drain", []message{{id: "a", startTime: 1, sequence: 9, draining: true}, {id: "a", startTime: 2, sequence: 1}, {id: "a", startTime: 2, sequence: 2, after: testClaimPeriod}}, "a", true},
		{"restarts after it left", []message{{id: "a", startTime: 1, sequence: 9}, {id: "a", startTime: 1, leaves: true}, {id: "a", startTime: 2, sequence: 1}, {id: "a", startTime: 2, sequence: 2, after: testClaimPeriod}}, "a", true},
		{"late first report of a process that ran before with a later time of day", []message{{id: "a", startTime: 1, sequence: 9, draining: true}, {id: "a", startTime: 2, sequence: 1}}, "a", false},
		{"restarts after the time of day was set back", []message{{id: "a", startTime: 2, sequence: 9}, {id: "a", startTime: 1, sequence: 1}, {id: "a", startTime: 1, sequence: 2, after: testClaimPeriod}}, "a", true},
		{"drains after the time of day was set back", []message{{id: "a", startTime: 2, sequence: 9}, {id: "a", startTime: 1, sequence: 1}, {id: "a", startTime: 1, sequence: 2, draining: true, after: testClaimPeriod}}, "a", false},
		{"leaves after the time of day was set back", []message{{id: "a", startTime: 2, sequence: 9}, {id: "a", startTime: 1, sequence: 1}, {id: "a", startTime: 1, leaves: true, after: testClaimPeriod}}, "a", false},
		{"another process after the time of day was set back", []message{{id: "a", startTime: 2, sequence: 9}, {id: "b", startTime: 1, sequence: 1}, {id: "b", startTime: 1, sequence: 2, after: testClaimPeriod}}, "b", true},
		{"late report of the process from before the time of day was set back", []message{{id: "a", startTime: 2, sequence: 9}, {id: "b", startTime: 1, sequence: 1}, {id: "b", startTime: 1, sequence: 2, after: testClaimPeriod}, {id: "a", startTime: 2, sequence: 10}}, "b", true},
		{"late reports of the predecessor of a process that runs", []message{{id: "b", startTime: 2, sequence: 1}, {id: "a", startTime: 1, sequence: 10}, {id: "b", startTime: 2, sequence: 2, after: testClaimPeriod / 2}, {id: "a", startTime: 1, sequence: 11, after: testClaimPeriod / 2}}, "b", true},
		{"leave of the previous process", []message{{id: "a", startTime: 2, sequence: 1}, {id: "a", startTime: 1, leaves: true}}, "a", true},
		{"report of the previous process", []message{{id: "a", startTime: 2, sequence: 1}, {id: "a", startTime: 1, sequence: 99, draining: true}}, "a", true},
		{"successor with another ID", []message{{id: "a", startTime: 1, sequence: 9}, {id: "b", startTime: 2, sequence: 1}}, "b", true},
		{"late report of the predecessor", []message{{id: "b", startTime: 2, sequence: 1}, {id: "a", startTime: 1, sequence: 10}}, "b", true},
		{"leave of the predecessor", []message{{id: "b", startTime: 2, sequence: 1}, {id: "a", startTime: 1, leaves: true}}, "b", true},
		{"report that arrives after the leave of the same process, the first message", []message{{id: "a", startTime: 1, leaves: true}, {id: "a", startTime: 1, sequence: 1}}, "", false},
		{"report of the process after one that left as its first message", []message{{id: "a", startTime: 1, leaves: true}, {id: "a", startTime: 2, sequence: 1}, {id: "a", startTime: 2, sequence: 2, after: testClaimPeriod}}, "a", true},
		{"leave of a successor that has not reported", []message{{id: "b", startTime: 1, sequence: 1}, {id: "a", startTime: 2, leaves: true}, {id: "a", startTime: 2, sequence: 1}}, "b", true},
		{"leave of a restarted process that has not reported", []message{{id: "a", startTime: 1, sequence: 1}, {id: "a", startTime: 2, leaves: true}, {id: "a", startTime: 2, sequence: 1}}, "a", false},
		{"drain that arrives after a newer report", []message{{id: "a", startTime: 1, sequence: 3}, {id: "a", startTime: 1, sequence: 2, draining: true}}, "a", false},
		{"drained process after its successor", []message{{id: "a", startTime: 3, sequence: 1, draining: true}, {id: "b", startTime: 4, sequence: 1}, {id: "a", startTime: 3, sequence: 2}}, "b", true},
		{"leave of an unknown process without a start time", []message{{id: "a", leaves: true}, {id: "a", startTime: 1, sequence: 1}}, "a", true},
		{"leave without a start time", []message{{id: "a", startTime: 1, sequence: 1}, {id: "a", leaves: true}}, "a", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			state := BackendState{ClaimPeriod: testClaimPeriod}
			_ = play(&state, row.messages)
			is.Equal(state.ID, row.id)
			is.Equal(state.AcceptsRequests(), row.accepts)
		})
	}
}

// TestOnlyWhatIsInForceIsAcknowledged sends messages and checks the last one: it may be acknowledged only if what it says
// is in force.
func TestOnlyWhatIsInForceIsAcknowledged(t *testing.T) {
	reported := message{id: "a", startTime: 2, sequence: 5}
	for _, row := range []struct {
		name     string
		messages []message
		code     result.Code
	}{
		{"first report", []message{reported}, result.OK},
		{"report again", []message{reported, reported}, result.OK},
		{"drain again after the leave", []message{reported, {id: "a", startTime: 2, leaves: true}, {id: "a", startTime: 2, sequence: 6, draining: true}}, result.OK},
		{"leave of a process that has not reported", []message{{id: "a", startTime: 2, leaves: true}}, result.OK},
		{"leave again", []message{{id: "a", startTime: 2, leaves: true}, {id: "a", startTime: 2, leaves: true}}, result.OK},
		{"drain of a process that left before it reported", []message{{id: "a", startTime: 2, leaves: true}, {id: "a", startTime: 2, sequence: 1, draining: true}}, result.OK},
		{"late report of a process that left before it reported", []message{{id: "a", startTime: 2, leaves: true}, reported}, result.ReportOutdated},
		{"older report", []message{reported, {id: "a", startTime: 2, sequence: 4}}, result.ReportOutdated},
		{"report of an earlier process", []message{reported, {id: "a", startTime: 1, sequence: 9}}, result.ReportUnconfirmed},
		{"drain of an earlier process", []message{reported, {id: "a", startTime: 1, sequence: 9, draining: true}}, result.ReportUnconfirmed},
		{"leave of an earlier process", []message{reported, {id: "a", startTime: 1, leaves: true}}, result.ReportUnconfirmed},
		{"drain of an earlier process that runs", []message{reported, {id: "a", startTime: 1, sequence: 1}, {id: "a", startTime: 1, sequence: 2, draining: true, after: testClaimPeriod}}, result.OK},
		{"leave of an earlier process that runs", []message{reported, {id: "a", startTime: 1, leaves: true}, {id: "a", startTime: 1, leaves: true, after: testClaimPeriod}}, result.OK},
		{"leave of a process that a late report replaced", []message{reported, {id: "a", startTime: 3, sequence: 1}, {id: "a", startTime: 2, leaves: true}}, result.ReportUnconfirmed},
		{"leave of the predecessor with another ID", []message{reported, {id: "b", startTime: 1, leaves: true}}, result.OK},
		{"leave of an unknown process without a start time", []message{{id: "a", leaves: true}}, result.ReportOutdated},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			state := BackendState{ClaimPeriod: testClaimPeriod}
			err := play(&state, row.messages)
			is.Equal(result.CodeOf(err), row.code)
		})
	}
}

// TestDepartureBeforeTheStartOfTheInstance applies reports before and after it is known that a process had left before the
// instance started.
func TestDepartureBeforeTheStartOfTheInstance(t *testing.T) {
	left := Departures{{ID: "a", StartMillis: 2}}
	ofDeparted, ofNext, ofOther := message{id: "a", startTime: 2, sequence: 1}, message{id: "a", startTime: 3, sequence: 1}, message{id: "b", startTime: 3, sequence: 1}
	confirmed := func(m message) []message {
		again := m
		again.sequence++
		again.after = testClaimPeriod
		return []message{m, again}
	}
	for _, row := range []struct {
		name          string
		before, after []message // before and after it is known
		accepts       bool
	}{
		{"late report", []message{ofDeparted}, nil, false},
		{"late reports that seemed to confirm it", confirmed(ofDeparted), nil, false},
		{"late report afterwards", nil, confirmed(ofDeparted), false},
		{"one report of its successor", []message{ofNext}, nil, false},
		{"reports of its successor", []message{ofNext}, confirmed(ofNext), true},
		{"one report of another process", []message{ofOther}, nil, true},
		{"one report of another process afterwards", nil, []message{ofOther}, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			state := BackendState{ClaimPeriod: testClaimPeriod, PastUnknown: true}
			_ = play(&state, row.before)
			state.LearnDepartures(left)
			_ = play(&state, row.after)
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
