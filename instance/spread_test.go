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

func numbered(n int) *ticket.Ticket {
	return &ticket.Ticket{Number: uint64(n), Services: map[string]*ticket.Service{fmt.Sprint("service-", n%5): {Floor: 0.5}}}
}

// submitAll submits tickets from one number to another and waits until the last is in force everywhere.
func submitAll(ctx context.Context, t testing.TB, f *fleet.Fleet, from, to int) {
	t.Helper()
	for n := from; n <= to; n++ {
		if _, err := f.SubmitTicket(ctx, 0, numbered(n)); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.WaitRevision(ctx, ticket.Revision(to)); err != nil {
		t.Fatal(err)
	}
}

// Calls while tickets are accepted grow with the failure domains, not with the instances.
func TestPlatformCallsDoNotGrowWithInstances(t *testing.T) {
	const tickets, watchers = 10, 2 * 4
	for _, size := range []int{12, 32} {
		f, ctx := startFleetOf(t, fleet.Options{Instances: size})
		submitAll(ctx, t, f, 1, 1) // who watched while it was alone finds out with the first
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

func TestInstanceLoadsFromPeersWhileThePlatformIsAway(t *testing.T) {
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
	is.Equal(added.Revision(), f.Instances[0].Revision()) // whole before it is ready; rosters are revisions too
	calls := link.NewControlClient(link.SystemNetwork{}, nil)
	defer calls.Close()
	var m ticket.Manifest
	is.NoErr(calls.Call(ctx, added.Addresses().Control.String(), "ticket.manifest", struct{}{}, &m))
	is.Equal(uint64(m.Revision), added.Revision()) // and it gives the whole state to others
	f.Platform.SetFaults(standin.Faults{})
	submitAll(ctx, t, f, 8, 9) // and it goes on by revision
}

func TestInstanceWithoutPlatformAndPeersTakesNoRequests(t *testing.T) {
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

// Instances that the platform can't be reached from learn from the others; the store's lost answers do no harm.
func TestDiscoverySurvivesLostAnswers(t *testing.T) {
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

// Every instance in turn is replaced under load: nothing is cut, fails or runs twice.
func TestReplacingEveryInstanceCutsNothing(t *testing.T) {
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
	ledger := &fleet.CallLog{}
	load := &fleet.Load{Fleet: f, Client: fleet.NewClient("caller", ""), CallLog: ledger, Rate: 100, Services: []string{"roster"}, PostEvery: 4}
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
	tally := ledger.CountOutcomes()
	is.True(tally.Succeeded > 200)
	is.Equal(tally, fleet.OutcomeCounts{Succeeded: len(ledger.Calls()), Codes: tally.Codes})
	is.Equal(len(tally.Codes), 0)
	is.Equal(ledger.Check(f).Total(), 0)
}

// BenchmarkInForce is the time from a ticket's acceptance to its being in force, over 40 instances.
func BenchmarkInForce(b *testing.B) {
	f, ctx := startFleetOf(b, fleet.Options{Instances: 40})
	submitAll(ctx, b, f, 1, 1)
	var times []time.Duration
	n := 1
	for b.Loop() {
		n++
		record, err := f.SubmitTicket(ctx, n%40, numbered(n))
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
