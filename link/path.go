package link

import (
	"context"
	"errors"
	"io"
	"net"
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

// pathTracker records when each instance last responded, and which have stayed silent since.
type pathTracker struct {
	mu           sync.Mutex
	lastResponse map[string]time.Time // by address; guarded by mu
	silent       map[string]bool      // by address, true if AwaitPath got no response since lastResponse; guarded by mu
}

// newPathTracker returns a tracker that knows no instance.
func newPathTracker() pathTracker {
	return pathTracker{lastResponse: make(map[string]time.Time), silent: make(map[string]bool)}
}

func (p *pathTracker) record(addr string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.lastResponse) >= maxPaths {
		clear(p.lastResponse)
	}
	p.lastResponse[addr] = now
	delete(p.silent, addr)
}

func (p *pathTracker) recordSilence(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.silent) >= maxPaths {
		clear(p.silent)
	}
	p.silent[addr] = true
}

func (p *pathTracker) isSilent(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent[addr]
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
	return f.ping(probeCtx, addr)
}

// AwaitPath waits until an instance whose path probe was late responds to another probe. It returns an error with the codes of a
// path probe when ctx ends, and at once if the instance does not accept connections or did not respond to an earlier AwaitPath
// and to nothing since: its path then counts as broken.
func (f *Forwarder) AwaitPath(ctx context.Context, addr string) error {
	if f.paths.isSilent(addr) {
		return result.WithRun(result.New(result.LinkUnreachable, "the other instance has been silent for long"), result.NotRun)
	}
	for start := time.Now(); ; {
		err := f.ping(ctx, addr)
		if err == nil || ctx.Err() == nil && !IsLate(err) {
			return err
		}
		if ctx.Err() == nil {
			continue // opening the connection took too long
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && time.Since(start) > probeTimeout {
			f.paths.recordSilence(addr)
		}
		return err
	}
}

// IsLate reports whether the error of an attempt means that the instance was too slow to open a connection or to respond to a path
// probe. Nothing of the request was sent, and the instance may be sound.
func IsLate(err error) bool {
	var timeout net.Error
	return result.Is(err, result.LinkUnreachable) && errors.As(err, &timeout) && timeout.Timeout()
}

// ping sends one path probe.
func (f *Forwarder) ping(ctx context.Context, addr string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.scheme+"://"+addr+"/", nil)
	if err != nil {
		return result.Wrap(result.Internal, err, "probe request for %s", addr)
	}
	r.Header.Set(HeaderPing, "1")
	e, _, err := SendOnce(ctx, f.transport, r)
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
