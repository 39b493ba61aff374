package link

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// Exchange is one request sent once, with the head of its answer. Response.Body must be closed; it closes the
// connection too, unless Accept was called and the answer was read to its end.
type Exchange struct {
	Response *http.Response
	tracker  *tracker
}

// Accept says that the answer belongs to the request, so that the connection may be used again after its end.
func (e *Exchange) Accept() { e.tracker.accept() }

// tracker follows the connection of one exchange.
type tracker struct {
	holds bool        // the end of the request's head is held back
	wrote atomic.Bool // the whole request was written
	early atomic.Bool // the answer came before the request was written

	mu       sync.Mutex
	hold     *hold
	attempts int
	touched  bool // a connection that was given up had bytes of the request written
	accepted bool
	ended    bool // the answer was read to its end
	reused   bool
}

// trace returns the hooks of the transport.
func (t *tracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:              t.got,
		GotFirstResponseByte: t.noteEarly,
		Got100Continue:       func() { t.early.Store(false) }, // that was no answer yet
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				t.wrote.Store(true)
			}
		},
	}
}

// got notes the connection of the exchange. The transport takes another one on its own only where nothing was
// written on the one before; should it ever do so after a write, the connection is closed before it is used.
func (t *tracker) got(info httptrace.GotConnInfo) {
	c := tracked(info.Conn)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hold != nil && t.hold.abort() {
		t.touched = true
	}
	t.hold = c.acquire(t.holds)
	t.reused = info.Reused
	t.attempts++
	if t.touched {
		_ = c.Close()
	}
}

// failed ends an exchange without an answer and tells whether bytes of the request may have been sent.
func (t *tracker) failed() (wrote bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hold != nil && t.hold.abort() {
		t.touched = true
	}
	return t.touched
}

// noteEarly notes an answer that comes while the request is still being written: what is left of the request might be
// taken for the next one, so that the connection can't be used again.
func (t *tracker) noteEarly() {
	if !t.wrote.Load() {
		t.early.Store(true)
	}
}

func (t *tracker) accept() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepted = true
	t.settle()
}

// end notes that the answer was read to its end.
func (t *tracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	t.settle()
}

// settle decides on the connection once that is possible: after the end of an accepted answer.
func (t *tracker) settle() {
	if !t.ended {
		return
	}
	if t.early.Load() {
		t.hold.discard()
		return
	}
	if t.accepted {
		t.hold.release()
	}
}

// close ends the exchange; a connection that was not released before is closed.
func (t *tracker) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hold.discard()
}

// answerBody follows an answer's body to its end.
type answerBody struct {
	io.ReadCloser
	tracker *tracker
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.tracker.end()
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	b.tracker.close()
	return b.ReadCloser.Close()
}

type heldBack struct{}

// WithDelayedHeadEnd lets SendOnce hold the end of a request's head back for a moment. A connection that turns out broken
// until then, as one that the other side has forgotten, or one of a server that resets what it gets, shows that the request was
// not run.
func WithDelayedHeadEnd(ctx context.Context) context.Context {
	return context.WithValue(ctx, heldBack{}, true)
}

// maxStale bounds how many connections that turned out closed before a byte was written are replaced.
const maxStale = 3

// SendOnce sends req over a transport made by NewTransport. On an error, wrote tells whether a byte of the
// request can have been sent: without one, the request was certainly not run.
//
// The transport would send some requests again on its own after their connection broke: GET, HEAD, OPTIONS and
// TRACE without a body, and requests with an idempotency key. Such requests are sent in a form that it does
// not take for repeatable.
func SendOnce(ctx context.Context, t *http.Transport, req *http.Request) (e *Exchange, wrote bool, err error) {
	hideIdempotency(req.Header)
	empty := req.Body == nil || req.Body == http.NoBody
	again := req.GetBody
	if replayable(req.Method) {
		req.GetBody = nil
	}
	for n := range maxStale {
		switch {
		case empty:
			req.Body = emptyFor(req.Method)
			req.ContentLength = 0
		case n > 0:
			if req.Body, err = again(); err != nil {
				return nil, false, err
			}
		}
		var reused bool
		e, wrote, reused, err = send(ctx, t, req)
		if err == nil || wrote || !reused || !empty && again == nil || ctx.Err() != nil {
			break
		}
	}
	return e, wrote, err
}

// send makes one round trip.
func send(ctx context.Context, t *http.Transport, req *http.Request) (e *Exchange, wrote, reused bool, err error) {
	track := &tracker{holds: ctx.Value(heldBack{}) != nil}
	resp, err := t.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, track.trace())))
	if err != nil {
		wrote = track.failed()
		return nil, wrote, track.reused, err
	}
	track.noteEarly()
	if resp.Body == http.NoBody {
		track.end()
	}
	resp.Body = &answerBody{ReadCloser: resp.Body, tracker: track}
	return &Exchange{Response: resp, tracker: track}, true, track.reused, nil
}

// replayable tells whether the transport takes a method for one that may be sent again.
func replayable(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// emptyFor is the body of a request without one.
func emptyFor(method string) io.ReadCloser {
	if replayable(method) {
		return emptyBody{}
	}
	return http.NoBody
}

// The headers by which the transport takes any request for repeatable, and their names on the wire.
var idempotencyHeaders = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// hideIdempotency writes the names of such headers so that the transport does not find them.
func hideIdempotency(h http.Header) {
	for name, wire := range idempotencyHeaders {
		if v, ok := h[name]; ok {
			delete(h, name)
			h[wire] = v
		}
	}
}
