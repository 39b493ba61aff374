package httpserver_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/internal/httpserver"
	"amaranthstile/result"
)

// TestRequestsGetAResponseWhenTheTimeOfAShutdownEnds ends the time of a shutdown while one request runs and after another has ended.
func TestRequestsGetAResponseWhenTheTimeOfAShutdownEnds(t *testing.T) {
	is := is.New(t)
	requests := httpserver.NewRequests()
	started := make(chan struct{})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			close(started)
			<-r.Context().Done()
		}
		if result.Is(context.Cause(r.Context()), result.ShuttingDown) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = io.WriteString(w, "whole")
	}))
	requests.Attach(s.Config)
	s.Start()
	defer s.Close()
	resp, err := http.Get(s.URL)
	is.NoErr(err)
	_ = resp.Body.Close()
	is.True(requests.Deadline().IsZero())

	deadline := time.Now().Add(200 * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	closing, release := requests.EndWith(ctx)
	defer release()
	is.True(requests.Deadline().Equal(deadline))
	resp, err = http.Get(s.URL + "/wait")
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	_ = resp.Body.Close()
	<-started
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(string(body), "whole")
	is.Equal(requests.Interrupted(), 1)
	<-closing.Done()
	is.True(time.Since(deadline) >= httpserver.ResponseTime)
}

// TestFinishedShutdownInterruptsNothing releases the shutdown before its time ends.
func TestFinishedShutdownInterruptsNothing(t *testing.T) {
	is := is.New(t)
	requests := httpserver.NewRequests()
	ctx, cancel := context.WithCancel(context.Background())
	closing, release := requests.EndWith(ctx)
	release()
	cancel()
	<-closing.Done()
	is.Equal(requests.Interrupted(), 0)
}
