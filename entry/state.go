package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"amaranthstile/internal/bytebudget"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/quota"
	"amaranthstile/result"
	"amaranthstile/route"
	"amaranthstile/ticket"
)

const (
	// responseMargin is how much earlier than the client's deadline the exit side gives up, so that its error with the
	// execution status still arrives in time. The margin is at most 1/maxMarginDivisor of the remaining time.
	responseMargin   = 50 * time.Millisecond
	maxMarginDivisor = 10
)

// requestState is the state of one client's request while it is processed.
type requestState struct {
	request *http.Request
	route   *route.Route
	service string  // the route's service, or the one that was drawn from its traffic split
	config  *Config // the configuration that the route and the account come from
	// authorizedBy is the configuration in which the API key was looked up last.
	authorizedBy *Config
	arrived      time.Time
	// clientService is the result of Options.ClientService, "" if backend servers don't need it.
	clientService string
	account       *quota.Account // nil on an open route
	// idempotencyKey is the client's Idempotency-Key, "" without one.
	idempotencyKey string

	// lease is what the request has taken of the budget.
	lease *bytebudget.Lease

	bodyHead []byte                // the whole body, or its beginning
	bodyRest io.Reader             // the body after bodyHead, nil if bodyHead is the whole body
	restRead atomic.Bool           // part of bodyRest was read, so the body can't be sent again
	restErr  atomic.Pointer[error] // why bodyRest could not be read

	sequence       AttemptSequence
	attempts       []Attempt // finished attempts
	reachedBackend bool      // an earlier attempt reached a backend server, or is assumed to have
	mayHaveRun     bool      // an earlier attempt may have run
}

// query returns the query that asks the selector for the next endpoint.
func (s *requestState) query(d *membership.Directory) Query {
	return Query{Directory: d, Service: s.service, Repeatable: s.repeatable(), ReachedBackend: s.reachedBackend}
}

// newAttemptRequest returns the request to send over the link in one attempt.
func (s *requestState) newAttemptRequest(ctx context.Context, c membership.Candidate, exchangeID string) *http.Request {
	r := s.request
	out := &http.Request{
		Method:        r.Method,
		ProtoMajor:    1,
		ProtoMinor:    1, // without it, the transport sends the body before the receiver asks for it
		URL:           &url.URL{Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery},
		Host:          r.Host,
		Header:        make(http.Header, len(r.Header)+6),
		ContentLength: int64(len(s.bodyHead)),
	}
	link.CopyEndToEnd(out.Header, r.Header)
	delete(out.Header, "Authorization")
	delete(out.Header, "Expect")
	s.setBody(out)
	s.setLinkHeaders(ctx, out.Header, c, exchangeID)
	return out
}

// setBody sets the body of an attempt. A long body is sent only after the exit side asks for it with 100-continue, so
// that an earlier refusal leaves it unread and another attempt can send it.
func (s *requestState) setBody(out *http.Request) {
	switch {
	case s.bodyRest != nil:
		out.Body = &attemptBody{state: s, buffered: s.bodyHead}
		out.ContentLength = s.request.ContentLength
		out.Header.Set("Expect", "100-continue")
	case len(s.bodyHead) > 0:
		out.Body = io.NopCloser(bytes.NewReader(s.bodyHead))
		// The transport retries on another connection only if nothing was written to the first one.
		out.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(s.bodyHead)), nil }
	default:
		out.Body = http.NoBody
	}
}

// setLinkHeaders sets the headers that describe the request to the exit side.
func (s *requestState) setLinkHeaders(ctx context.Context, h http.Header, c membership.Candidate, exchangeID string) {
	h.Set(link.HeaderBackend, c.Backend)
	h.Set(link.HeaderExchange, exchangeID)
	if s.account != nil {
		h.Set(link.HeaderAccount, s.account.Name)
		h.Set(link.HeaderKeyHash, s.keyHash())
		h.Set(link.HeaderRevision, strconv.FormatUint(s.authorizedBy.Revision, 10))
		h.Set(link.HeaderWeight, strconv.Itoa(s.account.Weight))
	}
	if s.repeatable() {
		h.Set(link.HeaderRepeatable, "1")
	}
	if s.reachedBackend {
		h.Set(link.HeaderRetry, "1")
	}
	s.setPriority(h)
	h.Set(link.HeaderRoute, s.route.Name)
	if s.route.TargetLatency > 0 {
		h.Set(link.HeaderTargetLatency, strconv.FormatInt((s.route.TargetLatency-time.Since(s.arrived)).Milliseconds(), 10))
	}
	if s.account == nil {
		h.Set(link.HeaderNestedCall, "1")
	}
	if s.clientService != "" {
		h.Set(link.HeaderOriginService, s.clientService)
	}
	if s.idempotencyKey != "" {
		delete(h, "Idempotency-Key")
		h.Set(link.HeaderIdempotencyKey, s.idempotencyKey)
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		left -= min(responseMargin, left/maxMarginDivisor)
		h.Set(link.HeaderTimeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	}
}

// setPriority sets the headers that rank the request among those that wait for the same backend server; 0 is served
// first. The priority of the client account goes before that of the route, which still orders the requests of accounts
// with equal priority.
func (s *requestState) setPriority(h http.Header) {
	priority := s.route.Priority
	if s.account != nil && s.account.Priority != nil {
		priority = *s.account.Priority
		h.Set(link.HeaderRoutePriority, strconv.Itoa(s.route.Priority))
	}
	if priority > 0 {
		h.Set(link.HeaderPriority, strconv.Itoa(priority))
	}
}

// keyHash returns the hash of the client's API key. The exit side uses it to check that the key is still valid after a
// wait for a slot.
func (s *requestState) keyHash() string {
	key, _ := bearerToken(s.request)
	text, _ := ticket.HashKey(key).MarshalText()
	return string(text)
}

// repeatable reports whether the request may be sent again although an earlier attempt may have run.
func (s *requestState) repeatable() bool {
	return s.idempotencyKey == "" && s.route.Repeatable(s.request.Method)
}

// mergeRun makes the execution status of an attempt's error hold for all attempts: once one attempt may have run, the
// request may have run.
func (s *requestState) mergeRun(err error) error {
	if result.RunOf(err) != result.NotRun {
		s.mayHaveRun = true
	}
	if s.mayHaveRun && result.RunOf(err) == result.NotRun {
		return result.WithRun(err, result.MayHaveRun)
	}
	return err
}
