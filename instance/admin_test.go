package instance_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/fleet"
	"amaranthstile/instance"
	"amaranthstile/link"
	"amaranthstile/result"
	"amaranthstile/ticket"
)

// startFleet starts a fleet of n instances that is closed with the test.
func startFleet(t *testing.T, n int) (*fleet.Fleet, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	f, err := fleet.Start(fleet.Options{Domains: []string{"norte", "sur"}, Region: "litoral", Instances: n})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	if err := f.WaitReady(ctx, 0); err != nil {
		t.Fatal(err)
	}
	return f, ctx
}

const goodTicket = `{"number":7,"services":{"roster":{"floor":0.5}},"routes":{"roster":{"prefix":"/roster","service":"roster"}}}`

func TestOperatorContract(t *testing.T) {
	f, _ := startFleet(t, 1)
	base := "http://" + f.Instances[0].Addresses().Admin.String()
	for _, c := range []struct {
		name, method, path, key, body string
		status                        int
		code                          result.Code
	}{
		{"no key", "GET", instance.PathState, "", "", 401, result.OperatorRejected},
		{"wrong key", "GET", instance.PathMetrics, "wrong", "", 401, result.OperatorRejected},
		{"live without a key", "GET", instance.PathLive, "", "", 200, result.OK},
		{"ready without a key", "GET", instance.PathReady, "", "", 200, result.OK},
		{"state", "GET", instance.PathState, fleet.OperatorKey, "", 200, result.OK},
		{"metrics", "GET", instance.PathMetrics, fleet.OperatorKey, "", 200, result.OK},
		{"broken ticket", "POST", instance.PathTickets, fleet.OperatorKey, `{"number":`, 400, result.TicketUnreadable},
		{"unknown field", "POST", instance.PathTickets, fleet.OperatorKey, `{"number":1,"colour":2}`, 400, result.TicketUnreadable},
		{"two tickets", "POST", instance.PathTickets, fleet.OperatorKey, goodTicket + goodTicket, 400, result.TicketUnreadable},
		{"2 MB", "POST", instance.PathTickets, fleet.OperatorKey, strings.Repeat(" ", 2<<20), 413, result.TicketTooLarge},
		{"unknown service", "POST", instance.PathTickets, fleet.OperatorKey, `{"number":1,"routes":{"a":{"prefix":"/a","service":"b"}}}`, 422, result.TicketUnknownService},
		{"burst below one", "POST", instance.PathTickets, fleet.OperatorKey, `{"number":1,"accounts":{"a":{"rate":1,"burst":0}}}`, 422, result.TicketBadRate},
		{"floor out of range", "POST", instance.PathTickets, fleet.OperatorKey, `{"number":1,"services":{"a":{"floor":1.5}}}`, 422, result.TicketBadFloor},
		{"check changes nothing", "POST", instance.PathCheckTicket, fleet.OperatorKey, goodTicket, 200, result.OK},
		{"not recorded", "GET", instance.PathTickets + "/7", fleet.OperatorKey, "", 404, result.TicketNotFound},
		{"accepted", "POST", instance.PathTickets, fleet.OperatorKey, goodTicket, 200, result.OK},
		{"sent again", "POST", instance.PathTickets, fleet.OperatorKey, goodTicket, 200, result.OK},
		{"number used", "POST", instance.PathTickets, fleet.OperatorKey, strings.Replace(goodTicket, "0.5", "0.6", 1), 409, result.TicketNumberUsed},
		{"outdated", "POST", instance.PathTickets, fleet.OperatorKey, strings.Replace(goodTicket, "7", "6", 1), 409, result.TicketOutdated},
		{"recorded", "GET", instance.PathTickets + "/7", fleet.OperatorKey, "", 200, result.OK},
		{"bad number", "GET", instance.PathTickets + "/x", fleet.OperatorKey, "", 400, result.OperatorUsage},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequest(c.method, base+c.path, strings.NewReader(c.body))
			is.NoErr(err)
			if c.key != "" {
				req.Header.Set("Authorization", "Bearer "+c.key)
			}
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer func() { _ = resp.Body.Close() }()
			is.Equal(resp.StatusCode, c.status)
			if c.code != result.OK {
				is.Equal(result.CodeOf(link.ReadError(resp.Header)), c.code)
			}
		})
	}
}

func TestDumpHoldsNoKey(t *testing.T) {
	is := is.New(t)
	f, ctx := startFleet(t, 1)
	const key = "a-key-that-must-not-show"
	record, err := f.SubmitTicket(ctx, 0, &ticket.Ticket{Number: 1, Accounts: map[string]*ticket.Account{
		"regantes": {Keys: []ticket.Hash{ticket.HashKey(key)}, Rate: 1, Burst: 1},
	}})
	is.NoErr(err)
	is.NoErr(f.WaitRevision(ctx, record.Revision))
	hash, _ := ticket.HashKey(key).MarshalText()
	for path, want := range map[string]string{instance.PathState: "regantes", instance.PathMetrics: "amaranthstile_shares_holder_admitted 0"} {
		req, err := http.NewRequest("GET", "http://"+f.Instances[0].Addresses().Admin.String()+path, nil)
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+fleet.OperatorKey)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		_ = resp.Body.Close()
		is.True(strings.Contains(string(body), want))
		is.True(!strings.Contains(string(body), key))
		is.True(!strings.Contains(string(body), string(hash)))
	}
}

func TestRacingOperatorsGetOneWinner(t *testing.T) {
	is := is.New(t)
	f, ctx := startFleet(t, 4)
	type outcome struct {
		record ticket.Record
		err    error
	}
	outcomes := make(chan outcome, len(f.Instances))
	for n := range f.Instances {
		go func() {
			floor := float64(n) / 10
			r, err := f.SubmitTicket(ctx, n, &ticket.Ticket{Number: 5, Services: map[string]*ticket.Service{"roster": {Floor: floor}}})
			outcomes <- outcome{r, err}
		}()
	}
	won := 0
	for range f.Instances {
		o := <-outcomes
		if o.err == nil {
			won++
			continue
		}
		is.Equal(result.CodeOf(o.err), result.TicketNumberUsed)
	}
	is.Equal(won, 1)
}
