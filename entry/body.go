package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"amaranthstile/result"
)

const (
	// maxBufferedBody is how many bytes of a body are buffered so that they can be sent again.
	maxBufferedBody = 64 << 10
	// bodyGracePeriod and minBodyRate bound how slowly a body may arrive, so that a slow client does not occupy a slot:
	// after the grace period, the bytes received must always make up for the time passed.
	bodyGracePeriod = 5 * time.Second
	minBodyRate     = 16 << 10 // bytes per second
	// unreadBodyTimeout bounds the wait for the rest of a refused request's body.
	unreadBodyTimeout = time.Second
)

// minRateBody is a client's body that must arrive at a minimum rate.
type minRateBody struct {
	from    io.Reader
	control *http.ResponseController
	start   time.Time
	read    int64
}

func newMinRateBody(w http.ResponseWriter, body io.Reader) *minRateBody {
	return &minRateBody{from: body, control: http.NewResponseController(w), start: time.Now()}
}

// Read implements io.Reader.
func (b *minRateBody) Read(p []byte) (int, error) {
	deadline := b.start.Add(bodyGracePeriod + time.Duration(b.read)*time.Second/minBodyRate)
	_ = b.control.SetReadDeadline(deadline)
	n, err := b.from.Read(p)
	_ = b.control.SetReadDeadline(time.Time{})
	b.read += int64(n)
	return n, err
}

// readBody buffers a short body whole and the beginning of a long one.
func (s *requestState) readBody(w http.ResponseWriter, r *http.Request) error {
	if r.ContentLength > s.route.MaxBodyBytes {
		return result.New(result.RequestTooLarge, "the request body has %d bytes, at most %d are allowed", r.ContentLength, s.route.MaxBodyBytes)
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	body := newMinRateBody(w, http.MaxBytesReader(w, r.Body, s.route.MaxBodyBytes))
	head, err := io.ReadAll(io.LimitReader(body, maxBufferedBody))
	if err != nil {
		return bodyError(err)
	}
	s.bodyHead = head
	if len(head) == maxBufferedBody && r.ContentLength != maxBufferedBody {
		s.bodyRest = body
	}
	return nil
}

// bodyError returns the error to report when reading a client's body failed with err.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.New(result.RequestTooLarge, "the request body is larger than %d bytes", tooLarge.Limit)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return result.Wrap(result.RequestTimeout, err, "the request body arrived too slowly")
	}
	return result.Wrap(result.RequestInvalid, err, "the request body ended early")
}

// attemptBody is the body of one attempt: the buffered part, then the rest as it arrives from the client. After Close
// it reads nothing more, so that a later attempt that finds the rest unread is its only reader.
type attemptBody struct {
	state    *requestState
	buffered []byte

	mu     sync.Mutex
	closed bool
}

// Read implements io.Reader.
func (b *attemptBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return 0, http.ErrBodyReadAfterClose
	}
	if len(b.buffered) > 0 {
		n := copy(p, b.buffered)
		b.buffered = b.buffered[n:]
		b.mu.Unlock()
		return n, nil
	}
	if b.state.bodyRest == nil {
		b.mu.Unlock()
		return 0, io.EOF
	}
	b.state.restRead.Store(true)
	b.mu.Unlock()
	return b.readRest(p)
}

// readRest reads from the client and records why a read failed.
func (b *attemptBody) readRest(p []byte) (int, error) {
	n, err := b.state.bodyRest.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		failure := bodyError(err)
		b.state.restErr.Store(&failure)
	}
	return n, err
}

// Close implements io.Closer.
func (b *attemptBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	return nil
}
