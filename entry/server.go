package entry

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply if the configuration sets no value.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	// serverHeaderBytes bounds the headers that the HTTP server reads; the handler's own bound is not higher.
	serverHeaderBytes = 64 << 10
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

// NewServer returns the HTTP server for clients. It must serve a listener made by Listen or ListenWithLimits: then the
// server's own responses, to requests that never reach the handler, have a result code too.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:                      markRequestTaken(h),
		ReadHeaderTimeout:            defaultHeaderTimeout, // the connections of Listen set their own deadlines
		MaxHeaderBytes:               serverHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ConnState:                    trackConnState,
		ConnContext:                  storeConn,
	}
}

// Listen wraps a listener for NewServer, with the default limits.
func Listen(l net.Listener) net.Listener {
	return ListenWithLimits(l, func() Limits { return Limits{} })
}

// ListenWithLimits wraps a listener for NewServer; limits returns the limits in force.
func ListenWithLimits(l net.Listener, limits func() Limits) net.Listener {
	return clientListener{l, limits}
}

type clientListener struct {
	net.Listener
	limits func() Limits
}

// Accept implements net.Listener.
func (l clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newClientConn(c, l.limits), nil
}

// connKey is the context key of a request's connection.
type connKey struct{}

// storeConn stores the connection in the context of its requests.
func storeConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// trackConnState marks a new or idle connection as awaiting a request.
func trackConnState(c net.Conn, s http.ConnState) {
	conn, ok := c.(*clientConn)
	if ok && (s == http.StateNew || s == http.StateIdle) {
		conn.awaitRequest()
	}
}

// markRequestTaken marks the request's connection as no longer awaiting a request before it calls the next handler.
func markRequestTaken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
			c.requestTaken()
		}
		next.ServeHTTP(w, r)
	})
}
