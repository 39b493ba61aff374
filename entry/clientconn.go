package entry

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"amaranthstile/entry/pipelining"
	"amaranthstile/internal/bytebudget"
	"amaranthstile/link"
	"amaranthstile/result"
)

// clientConn is a connection from a client. While no handler is processing one of its requests, the only data written
// are the responses that the HTTP server itself sends to requests that it can't parse. clientConn replaces them by
// responses with a result code.
type clientConn struct {
	net.Conn
	requests        *pipelining.Conn // the same connection
	limits          func() Limits
	budget          *bytebudget.Conn  // nil without a budget
	baseLease       *bytebudget.Lease // of the open connection
	headLease       *bytebudget.Lease // of the head of the request that the server reads or processes
	awaitingRequest atomic.Bool
	received        atomic.Bool  // bytes arrived since the last request
	refused         atomic.Bool  // an incomplete request was refused; nothing may follow
	idleSince       atomic.Int64 // when the connection began to await a request, in Unix nanoseconds
}

func newClientConn(c net.Conn, limits func() Limits, budget *bytebudget.Conn) *clientConn {
	requests := pipelining.NewConn(c, budget)
	wrapped := &clientConn{
		Conn: requests, requests: requests, limits: limits,
		budget: budget, baseLease: budget.Lease(), headLease: budget.Lease(),
	}
	wrapped.awaitRequest()
	return wrapped
}

// forget removes the connection from the budget.
func (c *clientConn) forget() {
	c.budget.Close()
	c.headLease.Close()
	c.baseLease.Close()
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	defer c.forget() // after the connection has lingered
	return c.Conn.Close()
}

// awaitRequest records that the connection awaits the next request from now on.
func (c *clientConn) awaitRequest() {
	c.requests.ExpectRequest()
	c.headLease.Release()
	c.budget.Enter(bytebudget.Idle, 0, time.Now())
	c.received.Store(false)
	c.idleSince.Store(time.Now().UnixNano())
	c.awaitingRequest.Store(true)
}

// requestTaken records that the handler has the request.
func (c *clientConn) requestTaken() {
	c.awaitingRequest.Store(false)
	c.budget.Enter(bytebudget.Working, 0, time.Now())
	_ = c.Conn.SetReadDeadline(time.Time{}) // the deadline of the request head
}

// SetReadDeadline implements net.Conn. While a request is awaited, the limits in force determine the deadline, since
// they may change meanwhile.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	if c.awaitingRequest.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn. A request whose head is incomplete gets an error response before the connection is closed.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if n > 0 && !c.received.Swap(true) && c.awaitingRequest.Load() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.limits().headerTimeout()))
	}
	if n > 0 && c.awaitingRequest.Load() && !c.takeHead(p[:n]) {
		if !c.refused.Load() {
			c.writeRefusal(errMemoryShort())
		}
		return 0, errHeadRefused
	}
	if err == nil || !c.awaitingRequest.Load() || !c.received.Load() || c.refused.Load() {
		return n, err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeRefusal(result.New(result.RequestTimeout, "the request head arrived too slowly"))
	}
	if errors.Is(err, io.EOF) {
		c.writeRefusal(result.New(result.RequestInvalid, "the request head ended early"))
	}
	return n, err
}

// errHeadRefused ends the reading of a request head for which the budget has no room.
var errHeadRefused = errors.New("the request head is refused")

// takeHead takes from the budget what bytes of a request head cost once they are parsed.
func (c *clientConn) takeHead(p []byte) bool {
	now := time.Now()
	c.budget.Enter(bytebudget.Sending, len(p), now)
	cost := bytebudget.HeadBytes(len(p), bytes.Count(p, []byte{'\n'}))
	if c.requests.StartedAhead() {
		c.headLease.Force(cost, now) // the request may have run, so it can't be refused any more
		return true
	}
	return c.headLease.Take(cost, now)
}

// read waits for the first bytes of a request for as long as the connection may be idle, and for all others until the
// deadline of the connection.
func (c *clientConn) read(p []byte) (int, error) {
	for c.awaitingRequest.Load() && !c.received.Load() {
		end := time.Unix(0, c.idleSince.Load()).Add(c.limits().idleTimeout())
		if err := c.Conn.SetReadDeadline(end); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if !time.Now().Before(time.Unix(0, c.idleSince.Load()).Add(c.limits().idleTimeout())) {
			return n, err
		}
	}
	return c.Conn.Read(p)
}

// refusalWriteTimeout bounds how long the error response to an incomplete request may take to write.
const refusalWriteTimeout = time.Second

// writeRefusal writes an error response directly to the connection, which is closed afterwards.
func (c *clientConn) writeRefusal(err error) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_, _ = c.Conn.Write(refusalBytes(err))
	c.refused.Store(true)
}

const (
	// writeGracePeriod and minReadRate bound how slowly a client may take a response, so that a client that reads nothing
	// does not keep it in memory. The period is longer than a broken path usually takes to recover.
	writeGracePeriod = 30 * time.Second
	minReadRate      = 16 << 10 // bytes per second
)

// writeResponse writes a part of a response within the time that its client may take.
func (c *clientConn) writeResponse(p []byte) (int, error) {
	start := time.Now()
	_ = c.SetWriteDeadline(start.Add(writeGracePeriod + time.Duration(len(p))*time.Second/minReadRate))
	c.budget.Enter(bytebudget.Receiving, 0, start)
	n, err := c.Conn.Write(p)
	c.budget.Enter(bytebudget.Working, n, time.Now())
	return n, err
}

// Write implements net.Conn. It replaces the error responses of the HTTP server itself.
func (c *clientConn) Write(p []byte) (int, error) {
	if !c.awaitingRequest.Load() {
		return c.writeResponse(p)
	}
	if c.refused.Load() {
		return len(p), nil
	}
	err := errorOfServerResponse(p)
	if err == nil {
		return c.Conn.Write(p)
	}
	if _, e := c.Conn.Write(refusalBytes(err)); e != nil {
		return 0, e
	}
	return len(p), nil
}

// CloseWrite lets the HTTP server close the outgoing direction first, so that the client can read the response.
func (c *clientConn) CloseWrite() error { return c.requests.CloseWrite() }

// refusalBytes returns a whole HTTP response with err's result code. It states that the request was not run.
func refusalBytes(err error) []byte {
	rec := &responseRecorder{header: make(http.Header)}
	link.WriteClientError(rec, result.WithRun(err, result.NotRun))
	if after := result.RetryAfterOf(err); after > 0 {
		rec.header.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	resp := http.Response{
		StatusCode:    rec.status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        rec.header,
		Body:          io.NopCloser(&rec.body),
		ContentLength: int64(rec.body.Len()),
		Close:         true,
	}
	var out bytes.Buffer
	_ = resp.Write(&out)
	return out.Bytes()
}

// responseRecorder is an http.ResponseWriter that stores the response.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *responseRecorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *responseRecorder) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *responseRecorder) Write(p []byte) (int, error) { return r.body.Write(p) }

// statusLine is the beginning of each HTTP/1.1 response.
const statusLine = "HTTP/1.1 "

// errorOfServerResponse returns the error that corresponds to an error response of the HTTP server itself, or nil if p
// is anything else.
func errorOfServerResponse(p []byte) error {
	rest, ok := bytes.CutPrefix(p, []byte(statusLine))
	if !ok || len(rest) < 3 {
		return nil
	}
	status, err := strconv.Atoi(string(rest[:3]))
	if err != nil || status < http.StatusBadRequest {
		return nil
	}
	line, _, _ := bytes.Cut(rest[3:], []byte("\r\n"))
	text := string(bytes.TrimSpace(line))
	if status == http.StatusRequestHeaderFieldsTooLarge {
		return result.New(result.HeadersTooLarge, "the headers are larger than %d bytes", MaxHeaderBytes)
	}
	return result.New(result.RequestInvalid, "%s", text)
}
