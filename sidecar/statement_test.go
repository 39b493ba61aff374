package sidecar

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/backend"
	"amaranthstile/backend/admission"
	"amaranthstile/event"
	"amaranthstile/membership"
	"amaranthstile/result"
)

// newReportedBackend returns a local backend whose backend server has reported, with its present upstream.
func newReportedBackend(startTime time.Time) (*localBackend, *backend.Upstream) {
	b := newLocalBackend(event.Discard(), func() admission.RetryBound { return admission.RetryBound{} }, func([]membership.Endpoint) {}, 0)
	b.learnDepartures(nil)
	_ = b.Report(context.Background(), Report{
		ID: "b", StartTime: startTime, Sequence: 1, Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:80"), Slots: 1,
	})
	return b, b.upstreams()["b"]
}

// TestStatementOfAnEarlierProcessIsIgnored lets a response of a backend server arrive after the backend server has started again under its ID.
func TestStatementOfAnEarlierProcessIsIgnored(t *testing.T) {
	is := is.New(t)
	start := time.Now().Add(-time.Minute)
	b, before := newReportedBackend(start)
	_ = b.Report(context.Background(), Report{
		ID: "b", StartTime: start.Add(time.Second), Sequence: 1, Service: "s", Address: before.Address, Slots: 1,
	})
	b.handleStatement(before, backend.Statement{Leaving: true, Limited: true})
	is.True(b.upstreams()["b"].TakesWork())
	b.handleStatement(b.upstreams()["b"], backend.Statement{Leaving: true})
	is.True(!b.upstreams()["b"].TakesWork())
}

// TestSuggestionHoldsForTheProcessThatWasSeen suggests that a backend server is leaving, seen before or after its start, and after a response to this
// instance that did not say so.
func TestSuggestionHoldsForTheProcessThatWasSeen(t *testing.T) {
	leaving := backend.Statement{Leaving: true}
	for _, row := range []struct {
		name      string
		age       time.Duration
		responded bool
		takesWork bool
	}{
		{"seen after its start", time.Second, false, false},
		{"seen before its start", time.Hour, false, true},
		{"seen before a response to this instance", time.Second, true, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			b, u := newReportedBackend(time.Now().Add(-time.Minute))
			if row.responded {
				b.handleStatement(u, backend.Statement{})
			}
			b.handleSuggestion("b", leaving, row.age)
			is.Equal(b.upstreams()["b"].TakesWork(), row.takesWork)
			b.handleSuggestion("other", leaving, row.age)
		})
	}
}

// TestReportOfAnUnknownServiceIsRefused guards against a report of another writer that takes the backend server out of
// use: it names a later process and a service that does not exist.
func TestReportOfAnUnknownServiceIsRefused(t *testing.T) {
	is := is.New(t)
	start := time.Now().Add(-time.Minute)
	b, u := newReportedBackend(start)
	b.namesService = func(name string) bool { return name == "s" }
	odd := Report{ID: "odd", StartTime: start.Add(time.Second), Sequence: 1, Service: "unnamed", Address: u.Address, Slots: 1}
	is.Equal(result.CodeOf(b.Report(context.Background(), odd)), result.AnnounceInvalid)
	is.True(b.upstreams()["b"].TakesWork())
	again := Report{ID: "b", StartTime: start, Sequence: 2, Service: "s", Address: u.Address, Slots: 1}
	is.NoErr(b.Report(context.Background(), again))
}
