package exit

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"amaranthstile/backend"
)

// watchedBody notes when a request's body was sent to its end, and whether it broke off on the entry's side.
type watchedBody struct {
	io.ReadCloser
	observed backend.Exchange
	broke    atomic.Bool
}

// watchBody puts a watched body in a request; a request without one counts as sent at once.
func watchBody(out *http.Request, observed backend.Exchange) *watchedBody {
	b := &watchedBody{ReadCloser: out.Body, observed: observed}
	if out.ContentLength == 0 || out.Body == nil {
		observed.Sent(time.Now())
		return b
	}
	out.Body = b
	return b
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.observed.Sent(time.Now())
	case err != nil && !errors.Is(err, http.ErrBodyReadAfterClose):
		b.broke.Store(true)
	}
	return n, err
}

// watchedAnswer notes whether an answer broke off on the backend server's side.
type watchedAnswer struct {
	io.Reader
	broke bool
}

// Read implements io.Reader.
func (a *watchedAnswer) Read(p []byte) (int, error) {
	n, err := a.Reader.Read(p)
	a.broke = a.broke || err != nil && !errors.Is(err, io.EOF)
	return n, err
}
