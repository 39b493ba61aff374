package entry

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout hold where the configuration names none.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	// serverHeaderBytes is where the HTTP server stops reading; the handler's own bound lies below.
	serverHeaderBytes = 64 << 10
	// defaultHeaderBytes bounds a request's headers where the configuration names no bound.
	defaultHeaderBytes = 32 << 10
)

// Limits bound what a caller may send and how long it may take; 0 stands for the default.
type Limits struct {
	// HeaderBytes bounds the headers of a request, 64 KiB at most; default 32 KiB.
	HeaderBytes int
	// HeaderTimeout is how long a caller may take from the first byte of a request to the end of its head; default 10 s.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle between two requests; default 2 min.
	IdleTimeout time.Duration
}

func (l Limits) headerBytes() int {
	if l.HeaderBytes <= 0 {
		return defaultHeaderBytes
	}
	return min(l.HeaderBytes, serverHeaderBytes)
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

// NewServer returns the HTTP server for callers; it serves a listener made by Listen. Every answer that it makes
// by itself, to requests that never reach the handler, carries a result code too.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:                      taken(h),
		ReadHeaderTimeout:            defaultHeaderTimeout, // the connections of Listen have deadlines of their own
		MaxHeaderBytes:               serverHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ConnState:                    noteState,
		ConnContext:                  noteConn,
	}
}

// Listen wraps the listener for callers, with the default limits.
func Listen(l net.Listener) net.Listener {
	return ListenWithLimits(l, func() Limits { return Limits{} })
}

// ListenWithLimits wraps the listener for callers; limits returns those in force.
func ListenWithLimits(l net.Listener, limits func() Limits) net.Listener {
	return callerListener{l, limits}
}

type callerListener struct {
	net.Listener
	limits func() Limits
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCallerConn(c, l.limits), nil
}

type connKey struct{}

func noteConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// noteState tells a connection that it waits for a request.
func noteState(c net.Conn, s http.ConnState) {
	own, ok := c.(*callerConn)
	if ok && (s == http.StateNew || s == http.StateIdle) {
		own.await()
	}
}

// taken tells a connection that the handler has its request.
func taken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
			c.taken()
		}
		next.ServeHTTP(w, r)
	})
}
