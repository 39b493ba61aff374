package pipelining

import (
	"context"
	"net/http"
	"sync/atomic"

	"amaranthstile/internal/bytebudget"
)

// maxAheadTotal bounds the requests of all connections that are processed ahead of their turn. Each may hold the
// beginning of a response in memory.
const maxAheadTotal = 128

// connsPerAhead is how many connections the budget must allow for each request that is processed ahead of its turn, since
// such a request needs descriptors of its own.
const connsPerAhead = 4

// Server processes the requests of the connections of one http.Server.
type Server struct {
	// Handler processes the requests.
	Handler http.Handler
	// MayOverlap reports whether a request may be processed at the same time as others of its connection. It must not
	// read the headers.
	MayOverlap func(r *http.Request) bool
	// Report reports a panic of the handler.
	Report func(format string, args ...any)

	running atomic.Int64 // requests that are processed ahead of their turn
}

// Serve answers a request that the http.Server read from c.
func (s *Server) Serve(c *Conn, w http.ResponseWriter, r *http.Request) {
	defer c.finish()
	if a := c.begin(s, r); a != nil {
		a.deliver(w, r)
		return
	}
	s.Handler.ServeHTTP(w, r)
}

// start starts to process a request of c ahead of its turn, if the bounds allow it, and closes its lease at the end. The
// calling function holds the lock of c.
func (s *Server) start(c *Conn, r *http.Request, lease *bytebudget.Lease) bool {
	limit := int64(maxAheadTotal)
	if c.budget != nil {
		limit = min(limit, int64(c.budget.MaxConns()/connsPerAhead))
	}
	if s.running.Add(1) > limit {
		s.running.Add(-1)
		return false
	}
	ctx, cancel := context.WithCancel(r.Context())
	original := *r
	original.Header = r.Header.Clone()
	a := &aheadRequest{request: &original, response: newDeferredResponse(ctx), cancel: cancel, done: make(chan struct{})}
	c.ahead = append(c.ahead, a)
	go func() {
		defer s.running.Add(-1)
		defer lease.Close()
		a.run(s.Handler, r.WithContext(ctx), s.Report)
	}()
	return true
}
