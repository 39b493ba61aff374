package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"amaranthstile/result"
)

// ResponseTime is how long the responses to requests that a planned shutdown has ended have to reach the clients.
const ResponseTime = 150 * time.Millisecond

// Requests ends the requests that a planned shutdown can't finish, so that they get a response instead of a closed
// connection. The context of each request of an attached server is then cancelled, with a cause that carries ShuttingDown.
type Requests struct {
	ctx      context.Context
	cancel   context.CancelCauseFunc
	deadline atomic.Pointer[time.Time]
	// refusesUnfinishable is set when requests that the shutdown may end are no longer accepted.
	refusesUnfinishable atomic.Bool
	// running is the number of requests without a whole response, and interrupted how many of them were ended.
	running, interrupted atomic.Int64
}

// NewRequests returns a Requests without servers.
func NewRequests() *Requests {
	r := &Requests{}
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	return r
}

// Attach makes r the owner of a server's requests. It must be called once, before the server serves.
func (r *Requests) Attach(s *http.Server) {
	s.BaseContext = func(net.Listener) context.Context { return r.ctx }
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.running.Add(1)
		defer r.running.Add(-1)
		next.ServeHTTP(w, req)
	})
}

// Interrupted returns how many requests a planned shutdown has ended.
func (r *Requests) Interrupted() int { return int(r.interrupted.Load()) }

// Deadline returns the time by which each request must have its response, or the zero time before a planned shutdown
// and if that has no deadline.
func (r *Requests) Deadline() time.Time {
	if deadline := r.deadline.Load(); deadline != nil {
		return *deadline
	}
	return time.Time{}
}

// RefuseUnfinishable makes Admit refuse requests from now on that the planned shutdown may end.
func (r *Requests) RefuseUnfinishable() { r.refusesUnfinishable.Store(true) }

// Admit decides on a request that may take until a deadline and has not run. After RefuseUnfinishable, the error carries
// ShuttingDown if the planned shutdown would end the request before.
func (r *Requests) Admit(deadline time.Time) error {
	if !r.refusesUnfinishable.Load() {
		return nil
	}
	if end := r.Deadline(); end.IsZero() || !end.Before(deadline) {
		return nil
	}
	return result.WithRun(result.New(result.ShuttingDown, "the process ends before the deadline of the request"), result.NotRun)
}

// EndWith ends all requests as soon as ctx ends. The context that it returns is for the servers' Shutdown and ends
// ResponseTime later. The returned function releases it.
func (r *Requests) EndWith(ctx context.Context) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		r.deadline.Store(&deadline)
	}
	closing, cancel := context.WithCancel(context.Background())
	stop := context.AfterFunc(ctx, func() {
		r.interrupted.Store(r.running.Load())
		r.cancel(result.New(result.ShuttingDown, "the process is about to end"))
		time.AfterFunc(ResponseTime, cancel)
	})
	return closing, func() {
		stop()
		cancel()
	}
}
