package httpclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// errStalled is why a call was cancelled on which nothing arrived for too long.
var errStalled = errors.New("nothing arrived in time")

// StallTimeout returns a transport that gives up a call once no byte of its response has arrived for a time. How long the
// whole response may take is left to the context of the request.
func StallTimeout(next http.RoundTripper, limit time.Duration) http.RoundTripper {
	return &stallTransport{next: next, limit: limit}
}

type stallTransport struct {
	next  http.RoundTripper
	limit time.Duration
}

// RoundTrip implements http.RoundTripper.
func (t *stallTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	timer := time.AfterFunc(t.limit, func() { cancel(errStalled) })
	resp, err := t.next.RoundTrip(r.WithContext(ctx))
	if err != nil {
		timer.Stop()
		err = stallError(ctx, err)
		cancel(nil)
		return nil, err
	}
	timer.Reset(t.limit)
	resp.Body = &stallBody{ReadCloser: resp.Body, ctx: ctx, cancel: cancel, timer: timer, limit: t.limit}
	return resp, nil
}

// CloseIdleConnections implements the optional interface of http.Client.
func (t *stallTransport) CloseIdleConnections() {
	if c, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// stallBody is a body whose call is cancelled when no read succeeds for a time.
type stallBody struct {
	io.ReadCloser
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	limit  time.Duration
}

// Read implements io.Reader.
func (b *stallBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.timer.Reset(b.limit)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = stallError(b.ctx, err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *stallBody) Close() error {
	b.timer.Stop()
	defer b.cancel(nil)
	return b.ReadCloser.Close()
}

// stallError returns errStalled, with the error that the cancelled call returned, if the call was given up for it.
func stallError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errStalled) {
		return errors.Join(errStalled, err)
	}
	return err
}
