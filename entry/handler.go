// Package entry implements the entry side of an instance: it accepts requests from clients, finds their route and
// client account, waits until the account's quota admits them, chooses an endpoint, and forwards each request over
// a link to the exit side of the instance that serves the endpoint.
//
// A request uses one immutable Config from beginning to end, except for its API key, which is looked up again in the
// configuration in force before each attempt. A request that is not repeatable is sent again only if the earlier
// attempt certainly did not reach a backend server. The execution status in the response to the client (not run, may
// have run or ran) covers all attempts together.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"amaranthstile/idempotency"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/quota"
	"amaranthstile/result"
	"amaranthstile/route"
)

// Config is the part of the configuration that requests depend on. It is immutable.
type Config struct {
	// Revision orders configurations: a later one has a higher revision.
	Revision uint64
	Routes   *route.Table
	Accounts *quota.Index
	Limits   Limits
}

// Forwarder sends a request over a link.
type Forwarder interface {
	// Send forwards the request once. The error carries the execution status: whether the request may have run.
	Send(ctx context.Context, addr string, req *http.Request) (*link.Exchange, error)
	// AwaitPath waits until the instance at addr responds to a path probe, or returns an error when ctx ends and at once if
	// the path is known to be broken.
	AwaitPath(ctx context.Context, addr string) error
}

// Options are the options of a Handler. Fields without a stated default are required.
type Options struct {
	// Config returns the configuration in force, or nil before one is loaded.
	Config func() *Config
	// Directory returns the known endpoints.
	Directory func() *membership.Directory
	Admitter  quota.Admitter
	Selector  Selector
	Forwarder Forwarder
	// NewExchangeID returns a new unique ID for one exchange, that is, one forwarding of a request and its response.
	NewExchangeID func() string
	// CheckAuthority returns nil while the instance may act for client accounts on the configuration that it holds, and
	// otherwise an error with the code NoStanding. It is called right before each attempt of a request that has an API
	// key.
	CheckAuthority func() error
	// Idempotency makes requests with an Idempotency-Key run at most once. It is not needed with PassIdempotencyKeys.
	Idempotency IdempotencyStore
	// PassIdempotencyKeys forwards Idempotency-Key headers like any other header, without deduplication; default off.
	PassIdempotencyKeys bool
	// ProbeIdleLinks makes the Forwarder probe an instance that has not responded recently before it sends a request
	// there that is not repeatable, so that a broken network path does not lose the request; default off.
	ProbeIdleLinks bool
	// WriteError writes the response for an error that the fleet itself detected; the default writes the format of
	// package link.
	WriteError func(w http.ResponseWriter, err error)
	// ClientService returns the name of the service that the instance runs beside and that its clients belong to, for
	// backend servers that need it; default none.
	ClientService func() string
	// RetryShare returns the probability that a call which the backend server beside the instance makes now belongs to a
	// retried request; default 0.
	RetryShare func() float64
	// ShutdownDeadline returns the time by which each request must have its response because a planned shutdown ends it
	// then, or the zero time if there is none, which is the default.
	ShutdownDeadline func() time.Time
	// AdmitUntil returns an error if a request that may take until a deadline can't be accepted, because a planned shutdown
	// would end it before; default nil.
	AdmitUntil func(deadline time.Time) error
	// OnDecision is called for each request when its response begins; by default nothing is called.
	OnDecision func(Decision)
	// OnPanic is called when an attempt of a request panicked; by default nothing is called.
	OnPanic func(r *http.Request, reason any, stack []byte)
}

// IdempotencyStore decides which request with an Idempotency-Key runs.
type IdempotencyStore interface {
	// Begin claims the key. It returns a Claim if the request may run, or a recorded response, or an error that carries
	// the execution status of all requests with the key.
	Begin(ctx context.Context, r idempotency.Request) (*idempotency.Claim, *idempotency.Record, error)
	// Prefix returns the prefix that new keys must have.
	Prefix(ctx context.Context) (string, error)
}

// Handler serves the requests of clients.
type Handler struct {
	options       Options
	retryPolicies retryPolicies
	statements    statements
	counters      counters
}

// New returns a Handler.
func New(o Options) *Handler {
	if o.WriteError == nil {
		o.WriteError = link.WriteClientError
	}
	if o.ClientService == nil {
		o.ClientService = func() string { return "" }
	}
	if o.RetryShare == nil {
		o.RetryShare = func() float64 { return 0 }
	}
	if o.ShutdownDeadline == nil {
		o.ShutdownDeadline = func() time.Time { return time.Time{} }
	}
	if o.AdmitUntil == nil {
		o.AdmitUntil = func(time.Time) error { return nil }
	}
	if o.OnDecision == nil {
		o.OnDecision = func(Decision) {}
	}
	if o.OnPanic == nil {
		o.OnPanic = func(*http.Request, any, []byte) {}
	}
	return &Handler{options: o}
}

// Limits returns the limits in force, for ListenWithLimits.
func (h *Handler) Limits() Limits {
	if config := h.options.Config(); config != nil {
		return config.Limits
	}
	return Limits{}
}

// MayRunTwice reports whether a request may run more than once: its route allows that for its method.
func (h *Handler) MayRunTwice(r *http.Request) bool {
	config := h.options.Config()
	if config == nil {
		return false
	}
	matched, ok := config.Routes.Lookup(r.Host, r.URL.Path)
	return ok && matched.Repeatable(r.Method)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if !h.options.PassIdempotencyKeys && r.URL.Path == idempotency.KeyPrefixPath {
		h.servePrefix(w, r)
		return
	}
	state, err := h.prepare(r)
	state.lease = clientConnOf(r).budgetConn().Lease()
	defer state.lease.Close()
	if err == nil {
		err = state.readBody(w, r)
	}
	if err == nil && !h.options.PassIdempotencyKeys {
		err = state.readIdempotencyKey()
	}
	if err == nil {
		err = h.options.AdmitUntil(arrived.Add(timeLimit(r, state.route)))
	}
	if err != nil {
		h.refuse(w, state, result.WithRun(err, result.NotRun))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), h.deadline(state, arrived))
	defer cancel()
	if state.account != nil {
		if err := h.options.Admitter.Admit(quota.WithTarget(ctx, state.route.TargetLatency), state.account); err != nil {
			h.refuse(w, state, result.WithRun(err, result.NotRun))
			return
		}
	}
	if state.idempotencyKey != "" {
		h.serveIdempotent(ctx, w, state)
		return
	}
	winner, err := h.run(ctx, state)
	if err != nil {
		h.refuse(w, state, err)
		return
	}
	defer winner.close()
	h.options.OnDecision(state.decision(winner, nil))
	h.writeResponse(w, r, winner.response)
}

// prepare checks the request and finds its route and client account. The state is never nil, also with an error.
func (h *Handler) prepare(r *http.Request) (*requestState, error) {
	config := h.options.Config()
	state := &requestState{
		request: r, config: config, authorizedBy: config, arrived: time.Now(), clientService: h.options.ClientService(),
	}
	if config == nil {
		return state, result.New(result.NotReady, "the configuration is not loaded yet")
	}
	if limit := config.Limits.headerBytes(); headerBytes(r.Header) > limit {
		return state, result.New(result.HeadersTooLarge, "the headers are larger than %d bytes", limit)
	}
	if err := checkTarget(r); err != nil {
		return state, err
	}
	matched, ok := config.Routes.Lookup(r.Host, r.URL.Path)
	if !ok {
		return state, result.New(result.RouteNotFound, "no route for this host and path")
	}
	state.route, state.service = matched, matched.Pick(rand.Float64())
	if matched.Open {
		return state, nil
	}
	account, err := authenticate(r, config.Accounts)
	state.account = account
	return state, err
}

// authenticate returns the client account that the request's API key belongs to.
func authenticate(r *http.Request, accounts *quota.Index) (*quota.Account, error) {
	key, ok := bearerToken(r)
	if !ok {
		return nil, result.New(result.KeyMissing, "the route requires an API key in \"Authorization: Bearer\"")
	}
	account, ok := accounts.Find(key)
	if !ok {
		return nil, result.New(result.KeyRejected, "the API key belongs to no client account")
	}
	return account, nil
}

// bearerToken returns the request's API key and whether there is one.
func bearerToken(r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return key, ok && key != ""
}

// recheckAuthorization returns nil if the instance may act for the request's client account right now. The API key may
// have been revoked while the request waited for the account's quota.
func (h *Handler) recheckAuthorization(state *requestState) error {
	if state.account == nil {
		return nil
	}
	if err := h.options.CheckAuthority(); err != nil {
		return err
	}
	config := h.options.Config()
	if config == state.config {
		return nil
	}
	state.authorizedBy = config
	account, err := authenticate(state.request, config.Accounts)
	if err == nil && account.Name != state.account.Name {
		return result.New(result.KeyRejected, "the API key now belongs to another client account")
	}
	return err
}

// headerBytes returns the total size of the header names and values.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// deadline returns the time by which a request must have its response.
func (h *Handler) deadline(state *requestState, arrived time.Time) time.Time {
	deadline := arrived.Add(timeLimit(state.request, state.route))
	if by := h.options.ShutdownDeadline(); !by.IsZero() && by.Before(deadline) {
		return by
	}
	return deadline
}

// timeLimit returns the route's time limit or the one that the client asked for, whichever is shorter.
func timeLimit(r *http.Request, matched *route.Route) time.Duration {
	limit := matched.TimeLimit
	ms, err := strconv.ParseInt(r.Header.Get(link.HeaderTimeout), 10, 64)
	if err != nil || ms <= 0 {
		return limit
	}
	if requested := time.Duration(ms) * time.Millisecond; requested < limit {
		return requested
	}
	return limit
}
