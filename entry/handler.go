// Package entry is the entry side of an instance: it takes callers' requests, finds their route and client
// account, waits for the account's rate, chooses an endpoint and forwards the request to the exit side there.
//
// Each request reads one immutable View from beginning to end, but for its key, which is looked up again before each
// sending. A request that may not be repeated is sent again
// only where the earlier try certainly did not reach a backend server. What the caller is told of the run holds for
// all tries together.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"amaranthstile/contract"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/once"
	"amaranthstile/result"
	"amaranthstile/route"
)

// Config is the configuration that a request sees.
type Config struct {
	Routes   *route.Table
	Accounts *contract.Index
	Limits   Limits
}

// Forwarder sends a request over a link.
type Forwarder interface {
	// Send forwards the request once; the error says whether it may have run.
	Send(ctx context.Context, addr string, req *http.Request) (*link.Exchange, error)
}

// Options are the options of a Handler; all fields are needed.
type Options struct {
	// Config returns the configuration in force, or nil before it is loaded.
	Config func() *Config
	// Directory returns the endpoints.
	Directory func() *membership.Directory
	Admitter  contract.Admitter
	Selector  Selector
	Forwarder Forwarder
	// NewExchangeID makes the identity of one handing over.
	NewExchangeID func() string
	// CheckAuthority returns nil while the instance may act for client accounts on what it knows, and otherwise an error
	// that carries NoStanding. It is asked right before each sending of a request that came with a key.
	CheckAuthority func() error
	// Idempotency makes requests with an Idempotency-Key run at most once.
	Idempotency IdempotencyStore
	// PassIdempotencyKeys passes Idempotency-Keys on like any other header; Once is not needed then.
	PassIdempotencyKeys bool
	// ProbeIdleLinks asks an instance from which nothing came of late for a sign of life before a request that may not be repeated is
	// sent there, so that a way that was cut loses none.
	ProbeIdleLinks bool
	// WriteError answers with an error of the fleet's own; default link.WriteRefusal.
	WriteError func(w http.ResponseWriter, err error)
	// CallerService returns the service beside which requests begin, for backend servers that ask for it; default none.
	CallerService func() string
	// OnDecision is told of each request when its answer begins; default nobody.
	OnDecision func(Decision)
}

// IdempotencyStore decides which try with an Idempotency-Key runs.
type IdempotencyStore interface {
	// Begin claims the key: it returns a Try that may run, or a recorded answer, or an error that says whether any
	// try may have run.
	Begin(ctx context.Context, r once.Request) (*once.Claim, *once.Record, error)
	// Prefix returns what new keys begin with.
	Prefix(ctx context.Context) (string, error)
}

// Handler serves callers.
type Handler struct {
	options Options
	pacers  pacers
	counts  counts
}

// New returns a handler.
func New(o Options) *Handler {
	if o.WriteError == nil {
		o.WriteError = link.WriteClientError
	}
	if o.CallerService == nil {
		o.CallerService = func() string { return "" }
	}
	if o.OnDecision == nil {
		o.OnDecision = func(Decision) {}
	}
	return &Handler{options: o}
}

// Limits returns the limits in force, for ListenWithin.
func (h *Handler) Limits() Limits {
	if view := h.options.Config(); view != nil {
		return view.Limits
	}
	return Limits{}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if !h.options.PassIdempotencyKeys && r.URL.Path == once.KeyPrefixPath {
		h.servePrefix(w, r)
		return
	}
	t, err := h.prepare(r)
	if err == nil {
		err = t.readBody(w, r)
	}
	if err == nil && !h.options.PassIdempotencyKeys {
		err = t.takeKey()
	}
	if err != nil {
		h.refuse(w, t, result.WithRun(err, result.NotRun))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), arrived.Add(timeLimit(r, t.route)))
	defer cancel()
	if t.account != nil {
		if err := h.options.Admitter.Admit(ctx, t.account); err != nil {
			h.refuse(w, t, result.WithRun(err, result.NotRun))
			return
		}
	}
	if t.key != "" {
		h.serveOnce(ctx, w, t)
		return
	}
	won, err := h.run(ctx, t)
	if err != nil {
		h.refuse(w, t, err)
		return
	}
	defer won.close()
	h.options.OnDecision(t.decision(won, nil))
	h.deliver(w, r, won.answer)
}

// prepare finds the route and the client account.
func (h *Handler) prepare(r *http.Request) (*transfer, error) {
	view := h.options.Config()
	t := &transfer{request: r, view: view, arrived: time.Now(), callerService: h.options.CallerService()}
	if view == nil {
		return t, result.New(result.NotReady, "the configuration is not loaded yet")
	}
	if most := view.Limits.headerBytes(); headerBytes(r.Header) > most {
		return t, result.New(result.HeadersTooLarge, "headers are larger than %d bytes", most)
	}
	if err := checkTarget(r); err != nil {
		return t, err
	}
	found, ok := view.Routes.Lookup(r.Host, r.URL.Path)
	if !ok {
		return t, result.New(result.RouteNotFound, "no route for this host and path")
	}
	t.route, t.service = found, found.Pick(rand.Float64())
	if found.Open {
		return t, nil
	}
	account, err := authenticate(r, view.Accounts)
	t.account = account
	return t, err
}

// authenticate finds the client account of the request's key.
func authenticate(r *http.Request, accounts *contract.Index) (*contract.Account, error) {
	key, ok := bearer(r)
	if !ok {
		return nil, result.New(result.KeyMissing, "the route needs a key in \"Authorization: Bearer\"")
	}
	account, ok := accounts.Find(key)
	if !ok {
		return nil, result.New(result.KeyRejected, "the key belongs to no client account")
	}
	return account, nil
}

// bearer returns the request's key.
func bearer(r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return key, ok && key != ""
}

// mayStillSend reports whether the instance may act for the request's client account right now: it may have waited for
// its rate while the key was withdrawn.
func (h *Handler) mayStillSend(t *transfer) error {
	if t.account == nil {
		return nil
	}
	if err := h.options.CheckAuthority(); err != nil {
		return err
	}
	view := h.options.Config()
	if view == t.view {
		return nil
	}
	account, err := authenticate(t.request, view.Accounts)
	if err == nil && account.Name != t.account.Name {
		return result.New(result.KeyRejected, "the key belongs to another client account now")
	}
	return err
}

func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// timeLimit is the route's limit or the caller's own, whichever is shorter.
func timeLimit(r *http.Request, found *route.Route) time.Duration {
	limit := found.TimeLimit
	ms, err := strconv.ParseInt(r.Header.Get(link.HeaderTimeout), 10, 64)
	if err != nil || ms <= 0 {
		return limit
	}
	if own := time.Duration(ms) * time.Millisecond; own < limit {
		return own
	}
	return limit
}
