package exit

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"amaranthstile/backend"
)

// observedBody records when a request's body was sent whole, and whether reading it from the entry side failed.
type observedBody struct {
	io.ReadCloser
	observed   backend.Exchange
	readFailed atomic.Bool
}

// observeBody replaces the body of a request by an observedBody. A request without a body counts as sent at once.
func observeBody(out *http.Request, observed backend.Exchange) *observedBody {
	b := &observedBody{ReadCloser: out.Body, observed: observed}
	if out.ContentLength == 0 || out.Body == nil {
		observed.Sent(time.Now())
		return b
	}
	out.Body = b
	return b
}

// Read implements io.Reader.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.observed.Sent(time.Now())
	case err != nil && !errors.Is(err, http.ErrBodyReadAfterClose):
		b.readFailed.Store(true)
	}
	return n, err
}

// observedResponse records whether reading a response from the backend server failed.
type observedResponse struct {
	io.Reader
	readFailed bool
}

// Read implements io.Reader.
func (r *observedResponse) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.readFailed = r.readFailed || err != nil && !errors.Is(err, io.EOF)
	return n, err
}
