package httpserver

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"amaranthstile/internal/bytebudget"
	"amaranthstile/link"
)

const (
	// localReadTimeout bounds the time from the first byte of a request to the end of its body.
	localReadTimeout = 30 * time.Second
	// localHeaderBytes bounds the head of a request at a listener that serves neither clients nor other instances.
	localHeaderBytes = 8 << 10
	// localConns bounds the connections of such a listener. The platform, the backend server and operators need far fewer.
	localConns = 128
)

// NewLocalServer returns an HTTP server for a listener that serves the platform, backend servers or operators. It should
// serve a listener made by LimitLocalConns.
func NewLocalServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       localReadTimeout,
		IdleTimeout:       link.ServerIdleTimeout,
		MaxHeaderBytes:    localHeaderBytes,
	}
}

// IgnoreBody wraps a handler that needs no request body: none is read, and the connection of a request with a body is
// closed after the response. Reading it would let clients keep the connection open.
func IgnoreBody(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			w.Header().Set("Connection", "close")
			_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		}
		next(w, r)
	}
}

// LimitLocalConns bounds the open connections of a listener. A further connection ends the one that has been silent
// longest, since clients that misbehave must not keep others from connecting.
func LimitLocalConns(l net.Listener) net.Listener {
	return &localListener{l, bytebudget.New(bytebudget.Limits{Conns: localConns})}
}

type localListener struct {
	net.Listener
	budget *bytebudget.Budget
}

// Accept implements net.Listener.
func (l *localListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.budget.Open(time.Now(), func() { _ = c.Close() }); admitted != nil {
			return &localConn{Conn: c, budget: admitted}, nil
		}
		_ = c.Close()
	}
}

// localConn is a connection that tells its budget when it was used last.
type localConn struct {
	net.Conn
	budget *bytebudget.Conn
}

// Read implements net.Conn.
func (c *localConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.budget.Enter(bytebudget.Idle, n, time.Now())
	}
	return n, err
}

// Write implements net.Conn.
func (c *localConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.budget.Enter(bytebudget.Idle, n, time.Now())
	return n, err
}

// Close implements net.Conn.
func (c *localConn) Close() error {
	c.budget.Close()
	return c.Conn.Close()
}

// assumedDescriptors is the number of descriptors that a process is assumed to have if the system does not tell.
const assumedDescriptors = 1024

// Descriptors returns how many descriptors the process may open: the limit of the system, or the configured one, if there
// is one, whichever is lower.
func Descriptors(configured int) int {
	limit := assumedDescriptors
	var system syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system) == nil {
		limit = int(min(system.Cur, 1<<30))
	}
	if configured > 0 {
		limit = min(limit, configured)
	}
	return limit
}

// RegisterBudget registers the metrics of the budget for clients.
func RegisterBudget(register func(name, help string, read func() float64), b *bytebudget.Budget) {
	register("client_bytes", "Memory that clients use, as estimated, in bytes.", func() float64 { return float64(b.Stats().Bytes) })
	register("client_connections", "Open connections of clients.", func() float64 { return float64(b.Stats().Conns) })
	register("client_connections_ended_total", "Connections of clients ended in favor of others.", func() float64 {
		return float64(b.Stats().Ended)
	})
	register("client_refusals_total", "Connections and requests of clients refused since memory or connections were used up.", func() float64 {
		return float64(b.Stats().Refused)
	})
}
