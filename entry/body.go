package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"amaranthstile/internal/bytebudget"
	"amaranthstile/result"
)

const (
	// maxBufferedBody is how many bytes of a body are buffered so that they can be sent again.
	maxBufferedBody = 64 << 10
	// bodyGracePeriod and minBodyRate bound how slowly a body may arrive, so that a slow client does not occupy a slot:
	// after the grace period, the bytes received must always make up for the time passed.
	bodyGracePeriod = 5 * time.Second
	minBodyRate     = 16 << 10 // bytes per second
	// bodyStallTimeout is how long a client may send no byte of a body that is waited for. It is as long as the idle
	// timeout that is usual for connections; without it, a client that has sent much quickly could stop for minutes.
	bodyStallTimeout = 15 * time.Second
	// maxUnreadBody is the size in bytes up to which the rest of a refused request's body is read, and unreadBodyTimeout
	// bounds the wait for it. The connection can then be used again.
	maxUnreadBody     = 16 << 10
	unreadBodyTimeout = time.Second
)

// minRateBody is a client's body that must arrive at a minimum rate.
type minRateBody struct {
	from    io.Reader
	control *http.ResponseController
	budget  *bytebudget.Conn // of the client's connection, or nil
	start   time.Time
	read    int64
}

func newMinRateBody(w http.ResponseWriter, body io.Reader, budget *bytebudget.Conn) *minRateBody {
	return &minRateBody{from: body, control: http.NewResponseController(w), budget: budget, start: time.Now()}
}

// Read implements io.Reader.
func (b *minRateBody) Read(p []byte) (int, error) {
	now := time.Now()
	deadline := b.start.Add(bodyGracePeriod + time.Duration(b.read)*time.Second/minBodyRate)
	if stalled := now.Add(bodyStallTimeout); stalled.Before(deadline) {
		deadline = stalled
	}
	_ = b.control.SetReadDeadline(deadline)
	b.budget.Enter(bytebudget.Sending, 0, now)
	n, err := b.from.Read(p)
	b.budget.Enter(bytebudget.Working, n, time.Now())
	_ = b.control.SetReadDeadline(time.Time{})
	b.read += int64(n)
	return n, err
}

// readBody buffers a short body whole and the beginning of a long one. Before that, it takes from the budget what the
// request and its body need.
func (s *requestState) readBody(w http.ResponseWriter, r *http.Request) error {
	if r.ContentLength > s.route.MaxBodyBytes {
		return result.New(result.RequestTooLarge, "the request body has %d bytes, at most %d are allowed", r.ContentLength, s.route.MaxBodyBytes)
	}
	if !s.lease.Take(bytebudget.ProcessingBytes(r.Header)+bodyCost(r), time.Now()) {
		return errMemoryShort()
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	body := newMinRateBody(w, http.MaxBytesReader(w, r.Body, s.route.MaxBodyBytes), clientConnOf(r).budgetConn())
	head, err := readStart(body, r.ContentLength)
	if err != nil {
		return bodyError(err)
	}
	s.bodyHead = head
	if len(head) == maxBufferedBody && r.ContentLength != maxBufferedBody {
		s.bodyRest = body
		return nil
	}
	r.Body = http.NoBody // nothing of it is left to read
	return nil
}

// bodyCost returns how many bytes of the budget a request's body needs.
func bodyCost(r *http.Request) int64 {
	switch {
	case r.Body == nil || r.Body == http.NoBody:
		return 0
	case r.ContentLength >= 0 && r.ContentLength <= maxBufferedBody:
		return r.ContentLength
	}
	return maxBufferedBody + bytebudget.StreamBytes
}

// readStart reads a body of the given length, -1 if it is not known, up to maxBufferedBody bytes. The buffer does not get
// larger than that.
func readStart(body io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(io.LimitReader(body, maxBufferedBody))
	}
	head := make([]byte, min(length, maxBufferedBody))
	if _, err := io.ReadFull(body, head); err != nil {
		return nil, err
	}
	if length > maxBufferedBody {
		return head, nil
	}
	var extra [1]byte
	if _, err := body.Read(extra[:]); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return head, nil
}

// memoryRetryDelay is the time after which a request may be sent again that found no room in the budget. Clients that are
// behind are disconnected in less.
const memoryRetryDelay = time.Second

// errMemoryShort returns the error of a request for which the budget has no room.
func errMemoryShort() error {
	err := result.New(result.MemoryShort, "the memory for requests of clients is used up")
	return result.WithRetryAfter(result.WithRun(err, result.NotRun), memoryRetryDelay)
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
