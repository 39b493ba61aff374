package instance_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	backendstandin "amaranthstile/backend/standin"
	"amaranthstile/fleet"
	"amaranthstile/link"
	"amaranthstile/result"
	"amaranthstile/ticket"
)

// openRoute returns a ticket with one service and a route to it that needs no key.
func openRoute() *ticket.Ticket {
	return &ticket.Ticket{
		Number:   1,
		Services: map[string]*ticket.Service{"roster": {Floor: 0.5}},
		Routes:   map[string]*ticket.Route{"roster": {Prefix: "/roster", Service: "roster", Open: true, Repeatable: []string{"GET"}}},
	}
}

// serveRoster starts n instances with one backend server at the last one and the ticket of openRoute in force.
func serveRoster(t *testing.T, n int, serviceTime time.Duration) *fleet.Fleet {
	t.Helper()
	is := is.New(t)
	f, ctx := startFleet(t, n)
	_, err := f.AddBackend(n-1, backendstandin.Options{ID: "b1", Service: "roster", Slots: 3, ServiceTime: serviceTime})
	is.NoErr(err)
	is.NoErr(f.WaitReady(ctx, 1))
	record, err := f.SubmitTicket(ctx, 0, openRoute())
	is.NoErr(err)
	is.NoErr(f.WaitRevision(ctx, record.Revision))
	return f
}

func TestPlannedStopClosesConnectionsAndFinishesRequests(t *testing.T) {
	is := is.New(t)
	f := serveRoster(t, 2, 300*time.Millisecond)
	url := "http://" + f.Instances[0].Addresses().Clients.String() + "/roster/turn"
	running := make(chan error, 1)
	go func() {
		resp, err := http.Post(url, "text/plain", nil)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		running <- err
	}()
	for f.Backends[0].Server.Counts().Requests == 0 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- f.Instances[0].Stop(t.Context()) }()
	for !f.Instances[0].State().Stopping {
		time.Sleep(time.Millisecond)
	}
	resp, err := http.Get(url) // a client that does not know of the stop yet is still served
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(resp.Close) // and asked to close its connection
	is.NoErr(<-running)
	is.NoErr(<-stopped)
}

// TestPlannedStopAnswersRequestsThatItCannotFinish ends the time of a planned stop while a backend server still runs a request.
func TestPlannedStopAnswersRequestsThatItCannotFinish(t *testing.T) {
	is := is.New(t)
	f := serveRoster(t, 2, time.Minute)
	url := "http://" + f.Instances[0].Addresses().Clients.String() + "/roster/turn"
	stop, cancel := context.WithCancel(t.Context())
	go func() {
		for f.Backends[0].Server.Counts().Requests == 0 {
			time.Sleep(time.Millisecond)
		}
		time.AfterFunc(100*time.Millisecond, cancel)
		_ = f.Instances[0].Stop(stop)
	}()
	resp, err := http.Post(url, "text/plain", nil)
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.Header.Get(link.HeaderRun), string(result.MayHaveRun))
}
