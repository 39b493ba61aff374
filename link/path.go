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
	// HeaderPing marks a path probe, which checks whether the path to an exit side works.
	HeaderPing = "Amaranth-Ping"
	// pathFreshness is how long after the last response of an instance its path is assumed to work. It is about the
	// duration of a usual request, in which paths rarely break.
	pathFreshness = 300 * time.Millisecond
	// probeTimeout bounds a path probe: it must open a connection and receive a response between regions.
	probeTimeout = dialTimeout
	// maxPaths bounds the number of instances whose last response time is kept.
	maxPaths = 8192
)

// pathProbeKey is the context key of WithPathProbe.
type pathProbeKey struct{}

// WithPathProbe makes a Forwarder probe an instance that has not responded recently before it sends a request
// there. On a broken path the request would be lost without an error, and it would be unknown whether it ran.
func WithPathProbe(ctx context.Context) context.Context {
	return context.WithValue(ctx, pathProbeKey{}, true)
}

// pathTracker records when each instance last responded.
type pathTracker struct {
	mu           sync.Mutex
	lastResponse map[string]time.Time // by address; guarded by mu
}

func (p *pathTracker) record(addr string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.lastResponse) >= maxPaths {
		clear(p.lastResponse)
	}
	p.lastResponse[addr] = now
}

func (p *pathTracker) isFresh(addr string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.lastResponse[addr]) < pathFreshness
}

// probePath sends a path probe to an instance on the connection that the next request uses. An error carries
// LinkUnreachable and NotRun.
func (f *Forwarder) probePath(ctx context.Context, addr string) error {
	if f.paths.isFresh(addr, time.Now()) {
		return nil
	}
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(probeCtx, http.MethodGet, f.scheme+"://"+addr+"/", nil)
	if err != nil {
		return result.Wrap(result.Internal, err, "probe request for %s", addr)
	}
	r.Header.Set(HeaderPing, "1")
	e, _, err := SendOnce(probeCtx, f.transport, r)
	if err != nil {
		return result.WithRun(result.Wrap(result.LinkUnreachable, err, "the other instance did not respond to a path probe"), result.NotRun)
	}
	e.Accept()
	_, _ = io.Copy(io.Discard, e.Response.Body)
	_ = e.Response.Body.Close()
	f.paths.record(addr, time.Now())
	return nil
}

// AnswerPing responds to a path probe and reports whether the request was one.
func AnswerPing(w http.ResponseWriter, r *http.Request) bool {
	if r.Header.Get(HeaderPing) == "" {
		return false
	}
	w.WriteHeader(http.StatusNoContent)
	return true
}
