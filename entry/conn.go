package entry

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"amaranthstile/link"
	"amaranthstile/result"
)

// callerConn is a caller's connection. While no handler has a request of it, all that is written is what the HTTP
// server answers by itself to requests that it can't read; those answers are replaced by numbered ones.
type callerConn struct {
	net.Conn
	limits   func() Limits
	awaiting atomic.Bool
	received atomic.Bool  // bytes came since the last request
	answered atomic.Bool  // the request that broke off was answered; nothing may follow
	since    atomic.Int64 // Unix nanoseconds from which the connection awaits a request
}

func newCallerConn(c net.Conn, limits func() Limits) *callerConn {
	own := &callerConn{Conn: c, limits: limits}
	own.await()
	return own
}

func (c *callerConn) await() {
	c.received.Store(false)
	c.since.Store(time.Now().UnixNano())
	c.awaiting.Store(true)
}

func (c *callerConn) taken() {
	c.awaiting.Store(false)
	_ = c.Conn.SetReadDeadline(time.Time{}) // that of the head
}

// SetReadDeadline implements net.Conn. While a request is awaited the limits in force decide, which may change meanwhile.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if c.awaiting.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn. A request that stops before its end is told so before the connection is closed.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if n > 0 && !c.received.Swap(true) && c.awaiting.Load() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.limits().headerTimeout()))
	}
	if err == nil || !c.awaiting.Load() || !c.received.Load() || c.answered.Load() {
		return n, err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.answer(result.New(result.RequestTimeout, "the request's head came too slowly"))
	}
	if errors.Is(err, io.EOF) {
		c.answer(result.New(result.RequestInvalid, "the request's head broke off"))
	}
	return n, err
}

// read waits for the first bytes of a request as long as the connection may be idle, and for all others until the deadline.
func (c *callerConn) read(p []byte) (int, error) {
	for c.awaiting.Load() && !c.received.Load() {
		end := time.Unix(0, c.since.Load()).Add(c.limits().idleTimeout())
		if err := c.Conn.SetReadDeadline(end); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if !time.Now().Before(time.Unix(0, c.since.Load()).Add(c.limits().idleTimeout())) {
			return n, err
		}
	}
	return c.Conn.Read(p)
}

const answerTimeout = time.Second

// answer writes a refusal straight to the connection, which is closed afterwards.
func (c *callerConn) answer(err error) {
	_ = c.SetWriteDeadline(time.Now().Add(answerTimeout))
	_, _ = c.Conn.Write(refusal(err))
	c.answered.Store(true)
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	if !c.awaiting.Load() {
		return c.Conn.Write(p)
	}
	if c.answered.Load() {
		return len(p), nil
	}
	err := serverError(p)
	if err == nil {
		return c.Conn.Write(p)
	}
	if _, e := c.Conn.Write(refusal(err)); e != nil {
		return 0, e
	}
	return len(p), nil
}

// CloseWrite lets the HTTP server close one direction first, so that the caller can read the answer.
func (c *callerConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// refusal is a whole answer with err's code; such a request was not run.
func refusal(err error) []byte {
	rec := &recorder{header: make(http.Header)}
	link.WriteClientError(rec, result.WithRun(err, result.NotRun))
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

// recorder is a response writer that keeps the answer.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *recorder) Write(p []byte) (int, error) { return r.body.Write(p) }

const statusLine = "HTTP/1.1 "

// serverError is the error that an answer of the HTTP server itself stands for, nil for anything else.
func serverError(p []byte) error {
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
		return result.New(result.HeadersTooLarge, "headers are larger than %d bytes", serverHeaderBytes)
	}
	return result.New(result.RequestInvalid, "%s", text)
}
