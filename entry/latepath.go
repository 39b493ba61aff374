package entry

import (
	"context"
	"time"

	"amaranthstile/internal/contain"
	"amaranthstile/membership"
	"amaranthstile/result"
)

const (
	// latePathShare is the share of the remaining time for which a request waits for a late path. The rest is left for the
	// request itself, so that it does not end as one that may have run.
	latePathShare = 0.5
	// maxLatePaths bounds the concurrent path probes of one request.
	maxLatePaths = 8
)

// probesPaths reports whether attempts begin with a path probe.
func (d *dispatch) probesPaths() bool {
	return !d.state.repeatable() && d.handler.options.ProbeIdleLinks
}

// awaitLatePath is called once no endpoint is left. If path probes were late, it probes these paths again, all at once, and makes
// the endpoint of the first one that responds available again. A late instance may be sound but slow, and its client is served
// better late than refused. It reports whether a path responded; each request waits once.
func (d *dispatch) awaitLatePath() bool {
	deadline, ok := d.ctx.Deadline()
	if len(d.late) == 0 || d.awaitedPaths || !ok {
		return false
	}
	d.awaitedPaths = true
	d.handler.counters.latePaths.Add(1)
	ctx, cancel := context.WithTimeout(d.ctx, time.Duration(latePathShare*float64(time.Until(deadline))))
	defer cancel()
	late := d.late[:min(len(d.late), maxLatePaths)]
	responses := make(chan *membership.Candidate, len(late)) // nil for a path that did not respond
	for _, c := range late {
		go func() { responses <- d.awaitPath(ctx, c) }()
	}
	for range late {
		if c := <-responses; c != nil {
			d.state.sequence.allowAgain(*c)
			d.handler.options.Selector.PathResponded(*c)
			return true
		}
	}
	return false
}

// awaitPath returns the endpoint if the path to its instance responds before ctx ends, and otherwise nil.
func (d *dispatch) awaitPath(ctx context.Context, c membership.Candidate) *membership.Candidate {
	err := result.New(result.Internal, "the path probe panicked")
	contain.Run(func() { err = d.handler.options.Forwarder.AwaitPath(ctx, c.Instance.Link.String()) }, func(reason any, stack []byte) {
		d.handler.options.OnPanic(d.state.request, reason, stack)
	})
	if err != nil {
		return nil
	}
	return &c
}
