package soak_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/soak"
)

// TestSoak checks the fleet's guarantees under random faults. CI runs it with the race detector. The seed determines the
// sequence of faults.
func TestSoak(t *testing.T) {
	is := is.New(t)
	report, err := soak.Run(t.Context(), soak.Options{
		Instances:     40,
		Backends:      1,
		Duration:      20 * time.Second,
		Seed:          1,
		FaultInterval: 300 * time.Millisecond,
	})
	t.Logf("%+v", report)
	is.NoErr(err)
	is.True(report.Passed())
	is.True(report.AcceptedTickets > 0)
	is.True(report.Outcomes.Succeeded > 0)
}
