package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"amaranthstile/entry/pipelining"
	"amaranthstile/internal/bytebudget"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply if the configuration sets no value.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	// MaxHeaderBytes bounds the headers that the HTTP server reads; the handler's own bound is not higher.
	MaxHeaderBytes = 64 << 10
	// defaultHeaderBytes bounds a request's headers if the configuration sets no bound.
	defaultHeaderBytes = 32 << 10
)

// Limits bound what a client may send and how long it may take. The value 0 selects the default.
type Limits struct {
	// HeaderBytes bounds the headers of a request, 64 KiB at most; default 32 KiB.
	HeaderBytes int
	// HeaderTimeout is how long a client may take from the first byte of a request to the end of its head; default
	// 10 s.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle between two requests; default 2 min.
	IdleTimeout time.Duration
}

func (l Limits) headerBytes() int {
	if l.HeaderBytes <= 0 {
		return defaultHeaderBytes
	}
	return min(l.HeaderBytes, MaxHeaderBytes)
}

func (l Limits) headerTimeout() time.Duration {
	if l.HeaderTimeout <= 0 {
		return defaultHeaderTimeout
	}
	return l.HeaderTimeout
}

func (l Limits) idleTimeout() time.Duration {
	if l.IdleTimeout <= 0 {
		return defaultIdleTimeout
	}
	return l.IdleTimeout
}

// NewServer returns the HTTP server for clients. It must serve a listener made by Listen or ListenWithLimits: then the
// server's own responses, to requests that never reach the handler, have a result code too. Requests that a client sends
// ahead on one connection are processed at the same time if mayOverlap reports true for them and all before them;
// mayOverlap must not read the headers.
func NewServer(h http.Handler, mayOverlap func(r *http.Request) bool) *http.Server {
	s := &http.Server{
		ReadHeaderTimeout:            defaultHeaderTimeout, // the connections of Listen set their own deadlines
		MaxHeaderBytes:               MaxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ConnState:                    trackConnState,
		ConnContext:                  storeConn,
	}
	s.Handler = serveConns(&pipelining.Server{
		Handler:    h,
		MayOverlap: mayOverlap,
		Report: func(format string, args ...any) {
			if s.ErrorLog != nil {
				s.ErrorLog.Printf(format, args...)
			}
		},
	})
	return s
}

// Listen wraps a listener for NewServer, with the default limits and without a budget.
func Listen(l net.Listener) net.Listener {
	return ListenWithLimits(l, func() Limits { return Limits{} })
}

// ListenWithLimits wraps a listener for NewServer, without a budget; limits returns the limits in force.
func ListenWithLimits(l net.Listener, limits func() Limits) net.Listener {
	return ListenWithBudget(l, limits, nil)
}

// ListenWithBudget wraps a listener for NewServer; limits returns the limits in force. The connections, and what they keep
// in memory, are taken from the budget. If it is nil, neither is limited.
func ListenWithBudget(l net.Listener, limits func() Limits, budget *bytebudget.Budget) net.Listener {
	return clientListener{l, limits, budget}
}

type clientListener struct {
	net.Listener
	limits func() Limits
	budget *bytebudget.Budget
}

// Accept implements net.Listener. Connections for which the budget has no room are closed.
func (l clientListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.budget == nil {
			return newClientConn(c, l.limits, nil), nil
		}
		now := time.Now()
		admitted := l.budget.Open(now, func() { _ = c.Close() })
		if admitted == nil {
			_ = c.Close()
			continue
		}
		wrapped := newClientConn(c, l.limits, admitted)
		if wrapped.baseLease.Take(bytebudget.ConnBytes, now) {
			return wrapped, nil
		}
		wrapped.forget()
		_ = c.Close()
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// storeConn stores the connection in the context of its requests.
func storeConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// clientConnOf returns the connection of a request, or nil if it has none that Listen or its variants made.
func clientConnOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(connKey{}).(*clientConn)
	return c
}

// budgetConn returns the connection of the budget, or nil.
func (c *clientConn) budgetConn() *bytebudget.Conn {
	if c == nil {
		return nil
	}
	return c.budget
}

// trackConnState marks a new or idle connection as awaiting a request.
func trackConnState(c net.Conn, s http.ConnState) {
	conn, ok := c.(*clientConn)
	if ok && (s == http.StateNew || s == http.StateIdle) {
		conn.awaitRequest()
	}
}

// serveConns returns the handler of the HTTP server. It marks the request's connection as no longer awaiting a request
// before it passes the request on.
func serveConns(next *pipelining.Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*clientConn)
		if !ok {
			next.Handler.ServeHTTP(w, r)
			return
		}
		c.requestTaken()
		next.Serve(c.requests, w, r)
	})
}
