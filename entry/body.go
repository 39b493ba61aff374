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
	// bodyBuffer is how much of a body is held so that it can be sent again, in bytes.
	bodyBuffer = 64 << 10
	// bodyGrace and bodyPace bound how slowly a body may come, so that a slow caller does not hold a slot: after
	// the grace, the bytes that came must always make up for the time that passed.
	bodyGrace = 5 * time.Second
	bodyPace  = 16 << 10 // bytes per second
	// unreadBody is how long the rest of a refused request's body is waited for.
	unreadBody = time.Second
)

// pacedBody is a caller's body that must come at a least pace.
type pacedBody struct {
	from    io.Reader
	control *http.ResponseController
	start   time.Time
	read    int64
}

func newPacedBody(w http.ResponseWriter, body io.Reader) *pacedBody {
	return &pacedBody{from: body, control: http.NewResponseController(w), start: time.Now()}
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	due := b.start.Add(bodyGrace + time.Duration(b.read)*time.Second/bodyPace)
	_ = b.control.SetReadDeadline(due)
	n, err := b.from.Read(p)
	_ = b.control.SetReadDeadline(time.Time{})
	b.read += int64(n)
	return n, err
}

// readBody reads a short body whole and the beginning of a long one.
func (t *transfer) readBody(w http.ResponseWriter, r *http.Request) error {
	if r.ContentLength > t.route.MaxBodyBytes {
		return result.New(result.RequestTooLarge, "the body has %d bytes, at most %d are allowed", r.ContentLength, t.route.MaxBodyBytes)
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	body := newPacedBody(w, http.MaxBytesReader(w, r.Body, t.route.MaxBodyBytes))
	head, err := io.ReadAll(io.LimitReader(body, bodyBuffer))
	if err != nil {
		return bodyError(err)
	}
	t.head = head
	if len(head) == bodyBuffer && r.ContentLength != bodyBuffer {
		t.rest = body
	}
	return nil
}

func bodyError(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return result.New(result.RequestTooLarge, "the body is larger than %d bytes", large.Limit)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return result.Wrap(result.RequestTimeout, err, "the body came too slowly")
	}
	return result.Wrap(result.RequestInvalid, err, "the request's body broke off")
}

// tryBody is the body of one try: what is held, then what still comes from the caller. Once it is closed it reads
// nothing more, so that a later try that finds the rest untouched has it for itself.
type tryBody struct {
	transfer *transfer
	held     []byte

	mu     sync.Mutex
	closed bool
}

// Read implements io.Reader.
func (b *tryBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return 0, http.ErrBodyReadAfterClose
	}
	if len(b.held) > 0 {
		n := copy(p, b.held)
		b.held = b.held[n:]
		b.mu.Unlock()
		return n, nil
	}
	if b.transfer.rest == nil {
		b.mu.Unlock()
		return 0, io.EOF
	}
	b.transfer.begun.Store(true)
	b.mu.Unlock()
	return b.readRest(p)
}

// readRest reads from the caller and notes why that failed.
func (b *tryBody) readRest(p []byte) (int, error) {
	n, err := b.transfer.rest.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		failure := bodyError(err)
		b.transfer.broken.Store(&failure)
	}
	return n, err
}

// Close implements io.Closer.
func (b *tryBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	return nil
}
