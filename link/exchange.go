package link

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"amaranthstile/internal/httpclient"
)

// Exchange is one request that was sent once, and the head of its response. Response.Body must be closed. Closing
// it also closes the connection, unless Accept was called and the body was read to its end.
type Exchange struct {
	Response *http.Response
	tracker  *tracker
}

// Accept confirms that the response belongs to the request, so that the connection can be reused after the end of
// the body.
func (e *Exchange) Accept() { e.tracker.accept() }

// tracker tracks the connection of one exchange.
type tracker struct {
	delayHeadEnd   bool        // delay the end of the request head
	requestWritten atomic.Bool // the request was written completely
	earlyResponse  atomic.Bool // the response arrived before requestWritten was set

	mu          sync.Mutex
	reservation *reservation
	attempts    int
	bytesSent   bool // an abandoned connection may have carried the request
	accepted    bool
	bodyRead    bool // the response was read to its end
	reused      bool
}

// trace returns the hooks that http.Transport calls.
func (t *tracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:              t.onConn,
		GotFirstResponseByte: t.noteEarlyResponse,
		Got100Continue:       func() { t.earlyResponse.Store(false) }, // 100 Continue is not the response yet
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				t.requestWritten.Store(true)
			}
		},
	}
}

// onConn reserves the connection that the transport chose for the exchange. The transport replaces a connection on
// its own only if nothing was written on it. If it ever did so after a write, onConn would close the new connection
// before it is used.
func (t *tracker) onConn(info httptrace.GotConnInfo) {
	c := unwrapTracked(info.Conn)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reservation != nil && t.reservation.abort() {
		t.bytesSent = true
	}
	t.reservation = c.acquire(t.delayHeadEnd)
	httpclient.ExpectHead(info.Conn)
	t.reused = info.Reused
	t.attempts++
	if t.bytesSent {
		_ = c.Close()
	}
}

// fail ends an exchange that got no response and reports whether the peer may have received the request.
func (t *tracker) fail() (wrote bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reservation != nil && t.reservation.abort() {
		t.bytesSent = true
	}
	return t.bytesSent
}

// noteEarlyResponse records whether the response arrives while the request is still being written. The peer could
// take the rest of the request for the next one, so the connection can't be reused.
func (t *tracker) noteEarlyResponse() {
	if !t.requestWritten.Load() {
		t.earlyResponse.Store(true)
	}
}

func (t *tracker) accept() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepted = true
	t.releaseIfDone()
}

// markBodyRead records that the response was read to its end.
func (t *tracker) markBodyRead() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bodyRead = true
	t.releaseIfDone()
}

// releaseIfDone releases the connection after the end of an accepted response. It closes the connection after the
// end of an early response.
func (t *tracker) releaseIfDone() {
	if !t.bodyRead {
		return
	}
	if t.earlyResponse.Load() {
		t.reservation.discard()
		return
	}
	if t.accepted {
		t.reservation.release()
	}
}

// close ends the exchange and closes the connection if it was not released before.
func (t *tracker) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reservation.discard()
}

// responseBody is a response body that notifies the tracker when it is read to its end and when it is closed. It ends with an
// error if the trailer of the response is malformed.
type responseBody struct {
	io.ReadCloser
	response *http.Response
	tracker  *tracker
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := httpclient.CheckTrailer(b.response); err != nil {
		return n, err
	}
	b.tracker.markBodyRead()
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.tracker.close()
	return b.ReadCloser.Close()
}

// delayHeadEndKey is the context key of WithDelayedHeadEnd.
type delayHeadEndKey struct{}

// WithDelayedHeadEnd makes SendOnce delay the end of the request head for a moment. If the connection turns out to
// be broken during the delay, the request was not run. This detects connections that the peer no longer has, and
// servers that reset a connection when they receive data.
func WithDelayedHeadEnd(ctx context.Context) context.Context {
	return context.WithValue(ctx, delayHeadEndKey{}, true)
}

// maxStaleConns bounds the attempts on pooled connections that turn out to be closed before the request is sent.
const maxStaleConns = 3

// SendOnce sends req over a transport made by NewTransport. On an error, wrote reports whether the peer may have
// received the request; if it is false, the request was certainly not run.
//
// On its own, http.Transport resends some requests when their connection breaks: GET, HEAD, OPTIONS and TRACE
// requests without a body, and requests with an idempotency key. SendOnce changes the form of these requests so
// that the transport does not treat them as repeatable.
func SendOnce(ctx context.Context, t *http.Transport, req *http.Request) (e *Exchange, wrote bool, err error) {
	hideIdempotencyHeaders(req.Header)
	noBody := req.Body == nil || req.Body == http.NoBody
	getBody := req.GetBody
	if retriedByTransport(req.Method) {
		req.GetBody = nil
	}
	for n := range maxStaleConns {
		switch {
		case noBody:
			req.Body = emptyBodyFor(req.Method)
			req.ContentLength = 0
		case n > 0:
			if req.Body, err = getBody(); err != nil {
				return nil, false, err
			}
		}
		var reused bool
		e, wrote, reused, err = roundTrip(ctx, t, req)
		if err == nil || wrote || !reused || !noBody && getBody == nil || ctx.Err() != nil {
			break
		}
	}
	return e, wrote, err
}

// roundTrip sends req once. reused reports whether the connection came from the pool.
func roundTrip(ctx context.Context, t *http.Transport, req *http.Request) (e *Exchange, wrote, reused bool, err error) {
	connTracker := &tracker{delayHeadEnd: ctx.Value(delayHeadEndKey{}) != nil}
	resp, err := t.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, connTracker.trace())))
	if err != nil {
		wrote = connTracker.fail()
		return nil, wrote, connTracker.reused, err
	}
	connTracker.noteEarlyResponse()
	if resp.Body == http.NoBody {
		connTracker.markBodyRead()
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, response: resp, tracker: connTracker}
	return &Exchange{Response: resp, tracker: connTracker}, true, connTracker.reused, nil
}

// retriedByTransport reports whether http.Transport may resend requests of this method on its own.
func retriedByTransport(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// emptyBodyFor returns the body for a request that has none.
func emptyBodyFor(method string) io.ReadCloser {
	if retriedByTransport(method) {
		return emptyBody{}
	}
	return http.NoBody
}

// idempotencyHeaders maps each header that makes http.Transport treat any request as repeatable to its lower-case
// name on the wire.
var idempotencyHeaders = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// hideIdempotencyHeaders replaces the keys of such headers by their names on the wire, so that http.Transport does
// not find them.
func hideIdempotencyHeaders(h http.Header) {
	for name, wire := range idempotencyHeaders {
		if v, ok := h[name]; ok {
			delete(h, name)
			h[wire] = v
		}
	}
}
