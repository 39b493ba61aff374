package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"amaranthstile/contract"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
	"amaranthstile/route"
	"amaranthstile/ticket"
)

const (
	// answerMargin is how much earlier than the caller's time limit the exit side gives up, so that what it says
	// of the run still arrives; it is at most a marginShare of what is left.
	answerMargin = 50 * time.Millisecond
	marginShare  = 10

	// maxWaitless is how many tries of a request go elsewhere rather than wait for a slot.
	maxWaitless = 3
)

// transfer is one caller's request on its way.
type transfer struct {
	request *http.Request
	route   *route.Route
	service string  // of the route, or the part of its split that was drawn
	view    *Config // in which the route and the account were found
	arrived time.Time
	// callerService is the service beside which the request began, "" where that does not matter.
	callerService string
	account       *contract.Account // nil on an open route
	// key is the caller's Idempotency-Key, "" without one.
	key string

	head   []byte                // the body, or its beginning
	rest   io.Reader             // the body after head, nil if head is all
	begun  atomic.Bool           // some of rest was read, so the body can't be sent again
	broken atomic.Pointer[error] // why rest could not be read

	tried   []membership.Candidate
	ended   []Attempt              // tries whose outcome is known
	sends   int                    // over links
	reached bool                   // an earlier try has reached a backend server
	busy    []membership.Candidate // endpoints without a free slot for a try that would not wait
	mayHave bool                   // an earlier try may have run
}

// query is what the selector is asked.
func (t *transfer) query(d *membership.Directory) Query {
	return Query{Directory: d, Service: t.service, Tried: t.tried, Repeatable: t.repeatable(), ReachedBackend: t.reached}
}

// waitless tells whether the next try goes elsewhere rather than wait for a slot.
func (t *transfer) waitless() bool { return len(t.busy) < maxWaitless }

// noteBusy makes an endpoint that refused a try without waiting a choice again for tries that wait.
func (t *transfer) noteBusy(c membership.Candidate) {
	t.tried = slices.DeleteFunc(t.tried, func(x membership.Candidate) bool {
		return x.Instance.ID == c.Instance.ID && x.Backend == c.Backend
	})
	t.busy = append(t.busy, c)
}

// choose asks for an endpoint and tells whether the try waits for a slot there.
func (t *transfer) choose(s Selector, d *membership.Directory) (c membership.Candidate, wait, ok bool) {
	q := t.query(d)
	if t.waitless() {
		q.Tried = append(slices.Clone(t.tried), t.busy...)
		if c, ok = s.Select(q); ok || len(t.busy) == 0 {
			return c, false, ok
		}
		q.Tried = t.tried
	}
	c, ok = s.Select(q)
	return c, true, ok
}

// outgoing is the request for one try.
func (t *transfer) outgoing(ctx context.Context, c membership.Candidate, exchange string) *http.Request {
	r := t.request
	out := &http.Request{
		Method:        r.Method,
		ProtoMajor:    1,
		ProtoMinor:    1, // without it, the transport would send a body before it is asked for
		URL:           &url.URL{Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery},
		Host:          r.Host,
		Header:        make(http.Header, len(r.Header)+6),
		ContentLength: int64(len(t.head)),
	}
	link.CopyEndToEnd(out.Header, r.Header)
	delete(out.Header, "Authorization")
	delete(out.Header, "Expect")
	t.setBody(out)
	t.setLinkHeaders(ctx, out.Header, c, exchange)
	return out
}

// setBody gives the request the body; a long one waits until the exit side asks for it, so that a refusal before
// leaves it unread.
func (t *transfer) setBody(out *http.Request) {
	switch {
	case t.rest != nil:
		out.Body = &tryBody{transfer: t, held: t.head}
		out.ContentLength = t.request.ContentLength
		out.Header.Set("Expect", "100-continue")
	case len(t.head) > 0:
		out.Body = io.NopCloser(bytes.NewReader(t.head))
		// The transport takes another connection only where nothing was written on the first.
		out.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(t.head)), nil }
	default:
		out.Body = http.NoBody
	}
}

func (t *transfer) setLinkHeaders(ctx context.Context, h http.Header, c membership.Candidate, exchange string) {
	h.Set(link.HeaderBackend, c.Backend)
	h.Set(link.HeaderExchange, exchange)
	if t.account != nil {
		h.Set(link.HeaderAccount, t.account.Name)
		h.Set(link.HeaderKeyHash, t.keyHash())
		h.Set(link.HeaderWeight, strconv.Itoa(t.account.Weight))
	}
	if t.repeatable() {
		h.Set(link.HeaderRepeatable, "1")
	}
	if t.reached {
		h.Set(link.HeaderRetry, "1")
	}
	if p := t.priority(); p > 0 {
		h.Set(link.HeaderPriority, strconv.Itoa(p))
	}
	h.Set(link.HeaderRoute, t.route.Name)
	if t.route.TargetLatency > 0 {
		h.Set(link.HeaderTargetLatency, strconv.FormatInt((t.route.TargetLatency-time.Since(t.arrived)).Milliseconds(), 10))
	}
	if t.account == nil {
		h.Set(link.HeaderNestedCall, "1")
	}
	if t.callerService != "" {
		h.Set(link.HeaderOriginService, t.callerService)
	}
	if t.key != "" {
		delete(h, "Idempotency-Key")
		h.Set(link.HeaderIdempotencyKey, t.key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		left -= min(answerMargin, left/marginShare)
		h.Set(link.HeaderTimeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	}
}

// priority ranks the request among those that wait for the same backend server, 0 first.
func (t *transfer) priority() int {
	if t.account != nil && t.account.Priority != nil {
		return *t.account.Priority
	}
	return t.route.Priority
}

// keyHash is the hash of the caller's key, by which the exit side sees whether it still holds after a wait for a slot.
func (t *transfer) keyHash() string {
	key, _ := bearer(t.request)
	text, _ := ticket.HashKey(key).MarshalText()
	return string(text)
}

// repeatable tells whether the request may be sent again after it may have run.
func (t *transfer) repeatable() bool {
	return t.key == "" && t.route.Repeatable(t.request.Method)
}

// worst keeps the statement true over several tries: once a try may have run, so may the request.
func (t *transfer) worst(err error) error {
	if result.RunOf(err) != result.NotRun {
		t.mayHave = true
	}
	if t.mayHave && result.RunOf(err) == result.NotRun {
		return result.WithRun(err, result.MayHaveRun)
	}
	return err
}
