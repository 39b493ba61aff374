package link

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"amaranthstile/result"
)

const (
	// HeaderPing marks a question whether the way to an exit side is whole.
	HeaderPing = "Amaranth-Ping"
	// pathFresh is how long after its last answer the way to an instance counts as whole: about one usual request, in which
	// few ways break.
	pathFresh = 300 * time.Millisecond
	// pingLimit bounds a question: a connection and an answer between regions.
	pingLimit = dialTimeout
	// maxPaths bounds the instances whose last answer is kept.
	maxPaths = 8192
)

type pathChecked struct{}

// WithPathProbe lets a Forwarder ask an instance from which nothing came of late before it sends a request there. On a way
// that is cut the request would be lost without a sign, and nobody could tell whether it ran.
func WithPathProbe(ctx context.Context) context.Context {
	return context.WithValue(ctx, pathChecked{}, true)
}

// paths remembers when instances last answered.
type paths struct {
	mu       sync.Mutex
	answered map[string]time.Time // by address; guarded by mu
}

func (p *paths) note(addr string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.answered) >= maxPaths {
		clear(p.answered)
	}
	p.answered[addr] = now
}

func (p *paths) fresh(addr string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.answered[addr]) < pathFresh
}

// checkPath asks an instance for a sign of life on the connection that the next request takes; an error carries LinkUnreachable
// and NotRun.
func (f *Forwarder) checkPath(ctx context.Context, addr string) error {
	if f.paths.fresh(addr, time.Now()) {
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, pingLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(limited, http.MethodGet, f.scheme+"://"+addr+"/", nil)
	if err != nil {
		return result.Wrap(result.Internal, err, "a question for %s", addr)
	}
	r.Header.Set(HeaderPing, "1")
	e, _, err := SendOnce(limited, f.transport, r)
	if err != nil {
		return result.WithRun(result.Wrap(result.LinkUnreachable, err, "the other instance gave no sign of life"), result.NotRun)
	}
	e.Accept()
	_, _ = io.Copy(io.Discard, e.Response.Body)
	_ = e.Response.Body.Close()
	f.paths.note(addr, time.Now())
	return nil
}

// AnswerPing answers a question whether the way is whole, and reports whether the request was one.
func AnswerPing(w http.ResponseWriter, r *http.Request) bool {
	if r.Header.Get(HeaderPing) == "" {
		return false
	}
	w.WriteHeader(http.StatusNoContent)
	return true
}
