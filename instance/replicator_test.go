package instance_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	backendstandin "amaranthstile/backend/standin"
	"amaranthstile/fleet"
	"amaranthstile/link"
	"amaranthstile/store"
	"amaranthstile/store/standin"
	"amaranthstile/ticket"
)

func startFleetOf(t testing.TB, o fleet.Options) (*fleet.Fleet, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	o.Domains, o.Region = []string{"norte", "sur", "este", "oeste"}, "litoral"
	f, err := fleet.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	if err := f.WaitReady(ctx, 0); err != nil {
		t.Fatal(err)
	}
	if err := f.WaitMembers(ctx, o.Instances); err != nil {
		t.Fatal(err)
	}
	return f, ctx
}

func ticketNumbered(n int) *ticket.Ticket {
	return &ticket.Ticket{Number: uint64(n), Services: map[string]*ticket.Service{fmt.Sprint("service-", n%5): {Floor: 0.5}}}
}

// submitAll submits the tickets with the numbers between from and to, both included, and waits until the last one is
// in force everywhere.
func submitAll(ctx context.Context, t testing.TB, f *fleet.Fleet, from, to int) {
	t.Helper()
	for n := from; n <= to; n++ {
		if _, err := f.SubmitTicket(ctx, 0, ticketNumbered(n)); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.WaitRevision(ctx, ticket.Revision(to)); err != nil {
		t.Fatal(err)
	}
}

// TestPlatformCallsDoNotGrowWithInstances checks that the number of platform calls for accepted tickets depends on
// the number of failure domains, not on the number of instances.
func TestPlatformCallsDoNotGrowWithInstances(t *testing.T) {
	const tickets, watchers = 10, 2 * 4
	for _, size := range []int{12, 32} {
		f, ctx := startFleetOf(t, fleet.Options{Instances: size})
		// Instances that began to watch while they knew no others stop watching after the first ticket.
		submitAll(ctx, t, f, 1, 1)
		before := f.Store.Calls()
		submitAll(ctx, t, f, 2, 1+tickets)
		after := f.Store.Calls()
		watches := int(after[store.CallWatch] - before[store.CallWatch])
		if limit := (tickets + 1) * watchers; watches > limit {
			t.Errorf("%d instances made %d watches for %d tickets, more than %d", size, watches, tickets, limit)
		}
		if puts := int(after[store.CallPut] - before[store.CallPut]); puts > 2*tickets+watchers {
			t.Errorf("%d instances made %d writes for %d tickets", size, puts, tickets)
		}
		f.Close()
	}
}

func TestInstanceLoadsFromPeersWhilePlatformIsUnavailable(t *testing.T) {
	is := is.New(t)
	f, ctx := startFleetOf(t, fleet.Options{Instances: 4, Peers: true})
	submitAll(ctx, t, f, 1, 7)
	f.Platform.SetFaults(standin.Faults{Unavailable: true})
	added, err := f.AddInstance()
	is.NoErr(err)
	select {
	case <-added.Ready():
	case <-ctx.Done():
		t.Fatal("not ready")
	}
	// The state is complete before the instance is ready. Rosters have revisions, too.
	is.Equal(added.Revision(), f.Instances[0].Revision())
	calls := link.NewControlClient(link.SystemNetwork{}, nil)
	defer calls.Close()
	var m ticket.Manifest
	is.NoErr(calls.Call(ctx, added.Addresses().Control.String(), "ticket.manifest", struct{}{}, &m))
	is.Equal(uint64(m.Revision), added.Revision()) // the instance serves the whole state to others
	f.Platform.SetFaults(standin.Faults{})
	submitAll(ctx, t, f, 8, 9) // and then receives single revisions
}

func TestInstanceWithoutPlatformAndPeersRefusesRequests(t *testing.T) {
	is := is.New(t)
	f, ctx := startFleetOf(t, fleet.Options{Instances: 1})
	submitAll(ctx, t, f, 1, 3)
	f.Platform.SetFaults(standin.Faults{Unavailable: true})
	added, err := f.AddInstance()
	is.NoErr(err)
	resp, err := http.Get("http://" + added.Addresses().Clients.String() + "/")
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(!added.Serving())
	f.Platform.SetFaults(standin.Faults{})
	is.NoErr(f.WaitRevision(ctx, 3))
	is.NoErr(f.WaitMembers(ctx, 2))
}

// TestDiscoverySurvivesLostResponses checks that instances find each other although the platform loses responses to
// writes. An instance that gets nothing from the platform learns of the others through the membership.
func TestDiscoverySurvivesLostResponses(t *testing.T) {
	is := is.New(t)
	f, ctx := startFleetOf(t, fleet.Options{Instances: 2})
	f.Platform.SetFaults(standin.Faults{DropWriteResponses: 8})
	for range 6 {
		_, err := f.AddInstance()
		is.NoErr(err)
	}
	is.NoErr(f.WaitMembers(ctx, 8))
	f.Platform.SetFaults(standin.Faults{})
	submitAll(ctx, t, f, 1, 2)
}

// TestReplacingEveryInstanceCutsNoRequest replaces every instance in turn under load. No request is cut off, fails or
// runs twice.
func TestReplacingEveryInstanceCutsNoRequest(t *testing.T) {
	is := is.New(t)
	const size = 4
	f, ctx := startFleetOf(t, fleet.Options{Instances: size})
	for n := range size {
		_, err := f.AddBackend(n, backendstandin.Options{ID: fmt.Sprint("b", n), Service: "roster", Slots: 3, ServiceTime: 5 * time.Millisecond})
		is.NoErr(err)
	}
	is.NoErr(f.WaitReady(ctx, size))
	record, err := f.SubmitTicket(ctx, 0, openRoute())
	is.NoErr(err)
	is.NoErr(f.WaitRevision(ctx, record.Revision))
	requests := &fleet.CallLog{}
	load := &fleet.Load{Fleet: f, Client: fleet.NewClient("caller", ""), CallLog: requests, Rate: 100, Services: []string{"roster"}, PostEvery: 4}
	loading, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		load.Run(loading)
	}()
	for n := range size {
		is.NoErr(f.Replace(ctx, n))
	}
	stop()
	<-ended
	outcomes := requests.CountOutcomes()
	is.True(outcomes.Succeeded > 200)
	is.Equal(outcomes, fleet.OutcomeCounts{Succeeded: len(requests.Calls()), Codes: outcomes.Codes})
	is.Equal(len(outcomes.Codes), 0)
	is.Equal(requests.Check(f).Total(), 0)
}

// BenchmarkInForce measures the time from a ticket's acceptance until it is in force at each of 40 instances.
func BenchmarkInForce(b *testing.B) {
	f, ctx := startFleetOf(b, fleet.Options{Instances: 40})
	submitAll(ctx, b, f, 1, 1)
	var times []time.Duration
	n := 1
	for b.Loop() {
		n++
		record, err := f.SubmitTicket(ctx, n%40, ticketNumbered(n))
		if err != nil {
			b.Fatal(err)
		}
		start := time.Now()
		pending := f.Running()
		for len(pending) > 0 {
			rest := pending[:0]
			for _, i := range pending {
				if i.Revision() < uint64(record.Revision) {
					rest = append(rest, i)
					continue
				}
				times = append(times, time.Since(start))
			}
			pending = rest
			time.Sleep(time.Millisecond)
		}
	}
	sort.Slice(times, func(a, b int) bool { return times[a] < times[b] })
	b.ReportMetric(times[len(times)/2].Seconds()*1000, "ms-median")
	b.ReportMetric(times[len(times)*99/100].Seconds()*1000, "ms-99th")
	b.ReportMetric(times[len(times)-1].Seconds()*1000, "ms-worst")
}
