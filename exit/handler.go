// Package exit implements the exit side of an instance: it accepts requests that entry sides forward over links, and
// sends them to the instance's backend servers, which each have a limited number of slots for concurrent requests.
//
// As long as no byte of a request can have reached the backend server, an error has the execution status "not run".
// After that the exit side never sends the request again, and an error states what is known about its execution.
package exit

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"amaranthstile/backend"
	"amaranthstile/internal/bytebudget"
	"amaranthstile/internal/httpclient"
	"amaranthstile/link"
	"amaranthstile/result"
	"amaranthstile/ticket"
)

// Options are the options of a Handler. Fields without a stated default are required.
type Options struct {
	// Backends returns the current set of backend servers.
	Backends func() backend.UpstreamSet
	// Observer observes the exchanges with backend servers; default none.
	Observer backend.Observer
	// CheckKey returns nil if a request with this API key may run. It is called for requests that waited for a slot, since
	// their key may have been revoked meanwhile. Default: keys are not checked.
	CheckKey func(KeyUse) error
	// CheckDomain returns nil if requests may be sent to the backend servers here. It is called for each request before and
	// after its wait for a slot; default nil.
	CheckDomain func() error
	// AdmitUntil returns an error if a request that may take until a deadline can't be accepted, because a planned shutdown
	// would end it before; default nil.
	AdmitUntil func(deadline time.Time) error
	// Budget is what the requests take their memory from; default unlimited.
	Budget *bytebudget.Budget
	// Dialect defines the headers of requests to backend servers and interprets the responses; default NativeDialect.
	Dialect Dialect
	// OnReplaced is called when another backend server has taken over the address of the given one; by default nothing
	// is called.
	OnReplaced func(backend string)
	// OnStatement is called with what a backend server says about itself in a valid response; by default nothing is
	// called.
	OnStatement func(u *backend.Upstream, s backend.Statement)
	// OnSuggestion is called with what an entry side saw last that a backend server said, and how long ago that was; by
	// default nothing is called.
	OnSuggestion func(backend string, s backend.Statement, age time.Duration)
}

// KeyUse is the use of an API key by a request.
type KeyUse struct {
	Account string
	Hash    ticket.Hash // of the key
	// AcceptedBy is the revision of the configuration by which the entry side accepted the key; 0 if it did not say. If it
	// is later than the one in force at the exit side, a key that is unknown there may have been added in between.
	AcceptedBy uint64
}

// maxRejectionBytes is how many bytes of a rejection's body are read so that its connection can be reused.
const maxRejectionBytes = 4 << 10

// recheckAfter is the wait for a slot after which a request's API key is checked again.
const recheckAfter = 100 * time.Millisecond

// Handler serves the requests that arrive on the link listener of an instance.
type Handler struct {
	options Options
	history *exchangeHistory
}

// New returns a Handler.
func New(o Options) *Handler {
	if o.Observer == nil {
		o.Observer = backend.NoObserver{}
	}
	if o.CheckDomain == nil {
		o.CheckDomain = func() error { return nil }
	}
	if o.AdmitUntil == nil {
		o.AdmitUntil = func(time.Time) error { return nil }
	}
	if o.Dialect == nil {
		o.Dialect = NativeDialect{}
	}
	if o.OnReplaced == nil {
		o.OnReplaced = func(string) {}
	}
	if o.OnStatement == nil {
		o.OnStatement = func(*backend.Upstream, backend.Statement) {}
	}
	if o.OnSuggestion == nil {
		o.OnSuggestion = func(string, backend.Statement, time.Duration) {}
	}
	return &Handler{options: o, history: newExchangeHistory()}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if link.AnswerPing(w, r) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), remainingTime(r))
	defer cancel()
	if s, age, ok := backend.ParseStatement(r.Header.Get(link.HeaderStatement)); ok {
		h.options.OnSuggestion(r.Header.Get(link.HeaderBackend), s, age)
	}
	u, err := h.findBackend(r)
	if err != nil {
		refuse(w, r, result.WithRun(err, result.NotRun))
		return
	}
	lease := h.options.Budget.Lease()
	defer lease.Close()
	if !lease.Take(bytebudget.ProcessingBytes(r.Header)+bodyCost(r), time.Now()) {
		err := result.New(result.MemoryShort, "the memory for requests of clients is used up")
		refuse(w, r, result.WithRun(err, result.NotRun))
		return
	}
	if err := bufferBody(r); err != nil {
		refuse(w, r, result.WithRun(err, result.NotRun))
		return
	}
	arrived := time.Now()
	if err := h.options.AdmitUntil(arrived.Add(remainingTime(r))); err != nil {
		refuse(w, r, result.WithRun(err, result.NotRun))
		return
	}
	release, err := u.Gate.Acquire(ctx, newSlotRequest(r))
	if err != nil {
		setLoad(w, u)
		refuse(w, r, result.WithRun(err, result.NotRun))
		return
	}
	defer release()
	lease.Force(maxBufferedResponse, time.Now())
	if err := h.recheck(r, time.Since(arrived)); err != nil {
		refuse(w, r, result.WithRun(err, result.NotRun))
		return
	}
	if !h.history.add(r.Header.Get(link.HeaderExchange)) {
		refuse(w, r, result.WithRun(result.New(result.ExchangeRepeated, "the exchange was forwarded before"), result.MayHaveRun))
		return
	}
	h.forward(ctx, w, r, u)
}

// maxBufferedBody is the size in bytes up to which a body is read whole before its request waits for a slot.
const maxBufferedBody = 64 << 10

// bufferBody reads a short body whole. The HTTP server detects that the entry side has disconnected only after the body
// was read, and a request whose client is gone must not keep waiting for a slot. A longer body is not read here: the
// entry side sends it only after it is asked for.
func bufferBody(r *http.Request) error {
	if r.ContentLength <= 0 || r.ContentLength > maxBufferedBody || r.Header.Get("Expect") != "" {
		return nil
	}
	body := make([]byte, r.ContentLength)
	if err := link.ReadExactly(r.Body, body); err != nil {
		return result.Wrap(result.RequestInvalid, err, "the request body ended early")
	}
	r.Body = newBufferedBody(body)
	return nil
}

// bodyCost returns how many bytes of the budget a request's body needs.
func bodyCost(r *http.Request) int64 {
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		return bytebudget.StreamBytes
	}
	return r.ContentLength
}

// bufferedBody is a request body that was read whole.
type bufferedBody struct {
	*bytes.Reader
	body []byte
}

func newBufferedBody(body []byte) *bufferedBody { return &bufferedBody{bytes.NewReader(body), body} }

// Close implements io.Closer.
func (*bufferedBody) Close() error { return nil }

// newReader returns another reader of the whole body.
func (b *bufferedBody) newReader() (io.ReadCloser, error) { return newBufferedBody(b.body), nil }

// recheck returns nil if a request that got its slot may still be forwarded.
func (h *Handler) recheck(r *http.Request, waited time.Duration) error {
	if _, err := h.findBackend(r); err != nil {
		return err
	}
	account := r.Header.Get(link.HeaderAccount)
	if account == "" || waited < recheckAfter || h.options.CheckKey == nil {
		return nil
	}
	use := KeyUse{Account: account}
	if err := use.Hash.UnmarshalText([]byte(r.Header.Get(link.HeaderKeyHash))); err != nil {
		return result.Wrap(result.KeyRejected, err, "the hash of the API key is malformed")
	}
	// instances of earlier versions don't send the revision
	use.AcceptedBy, _ = strconv.ParseUint(r.Header.Get(link.HeaderRevision), 10, 64)
	return h.options.CheckKey(use)
}

// refuse writes an error response. A body that the entry side has not been asked for stays unsent, so that the entry
// side can send it to another endpoint.
func refuse(w http.ResponseWriter, r *http.Request, err error) {
	if r.Header.Get("Expect") != "" {
		w.Header().Set("Connection", "close")
	}
	link.WriteError(w, err)
}

// findBackend returns the backend server that the request is for, or an error if it accepts no requests.
func (h *Handler) findBackend(r *http.Request) (*backend.Upstream, error) {
	id := r.Header.Get(link.HeaderBackend)
	u, ok := h.options.Backends()[id]
	if !ok {
		return nil, result.New(result.BackendUnknown, "backend server %q has not announced itself to this instance", id)
	}
	if !u.TakesWork() {
		return nil, result.New(result.BackendDraining, "backend server %q is draining", id)
	}
	if err := h.options.CheckDomain(); err != nil {
		return nil, err
	}
	return u, nil
}

// newSlotRequest returns the request for a slot that the headers set by the entry side describe.
func newSlotRequest(r *http.Request) backend.SlotRequest {
	weight, _ := strconv.Atoi(r.Header.Get(link.HeaderWeight))
	priority, _ := strconv.Atoi(r.Header.Get(link.HeaderPriority))
	routePriority, err := strconv.Atoi(r.Header.Get(link.HeaderRoutePriority))
	if err != nil {
		routePriority = priority // the account has no priority, or the entry side runs an earlier version
	}
	s := backend.SlotRequest{
		Account:       r.Header.Get(link.HeaderAccount),
		Weight:        max(weight, 1),
		NoWait:        r.Header.Get(link.HeaderNoWait) != "",
		Priority:      priority,
		RoutePriority: routePriority,
		Repeatable:    r.Header.Get(link.HeaderRepeatable) != "",
		Retry:         r.Header.Get(link.HeaderRetry) != "",
		LastResort:    r.Header.Get(link.HeaderLastResort) != "",
		AcceptLate:    r.Header.Get(link.HeaderAcceptLate) != "",
		RetryShare:    retryShare(r),
		Route:         r.Header.Get(link.HeaderRoute),
		NestedCall:    r.Header.Get(link.HeaderNestedCall) != "",
	}
	if ms, err := strconv.Atoi(r.Header.Get(link.HeaderTargetLatency)); err == nil {
		s.SoftDeadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	return s
}

// retryShare returns the probability that a nested call belongs to a retried request, as the entry side stated it.
func retryShare(r *http.Request) float64 {
	share, err := strconv.ParseFloat(r.Header.Get(link.HeaderRetryShare), 64)
	if err != nil || !(share > 0) {
		return 0
	}
	return min(share, 1)
}

// setLoad reports the backend server's current load to the entry side.
func setLoad(w http.ResponseWriter, u *backend.Upstream) {
	w.Header().Set(link.HeaderLoad, u.Gate.Load().String())
}

// forward sends the request to the backend server and passes the response on.
func (h *Handler) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, u *backend.Upstream) {
	observed := h.options.Observer.Begin(u.ID, r.Header.Get(link.HeaderRoute), time.Now())
	outcome := backend.OutcomeAborted
	defer func() { observed.End(time.Now(), outcome) }()
	out := newBackendRequest(ctx, r, u)
	h.options.Dialect.PrepareRequest(out.Header, u)
	body := observeBody(out, observed)
	sendCtx := ctx
	if r.Header.Get(link.HeaderRepeatable) == "" {
		sendCtx = link.WithDelayedHeadEnd(ctx)
	}
	e, wrote, err := link.SendOnce(sendCtx, u.Transport, out)
	setLoad(w, u)
	if err != nil {
		outcome = outcomeWithoutResponse(ctx, wrote, body)
		refuse(w, r, exchangeError(ctx, err, wrote))
		return
	}
	resp := e.Response
	defer func() { _ = resp.Body.Close() }()
	if err := httpclient.CheckHead(resp); err != nil {
		refuse(w, r, err) // the outcome is that of an exchange without a response
		return
	}
	observed.Head(time.Now())
	info := h.options.Dialect.ReadResponse(resp, r, u)
	if !info.Crossed && !info.Replaced {
		h.options.OnStatement(u, info.Statement)
		if info.Statement != (backend.Statement{}) {
			w.Header().Set(link.HeaderStatement, info.Statement.Format(0))
		}
	}
	if !info.Crossed && (info.NotRun || info.Replaced) {
		outcome = backend.OutcomeShed
		h.writeRejection(w, r, e, info)
		return
	}
	if err := checkResponse(resp, r, info); err != nil {
		outcome = outcomeOfInvalidResponse(err)
		refuse(w, r, result.WithRun(err, result.Ran))
		return
	}
	e.Accept()
	if err := writeResponse(w, r, resp); err != nil {
		outcome = outcomeOfBrokenResponse(ctx, err)
		var broken *brokenResponseError
		if errors.As(err, &broken) {
			panic(http.ErrAbortHandler)
		}
		return
	}
	outcome = outcomeOfResponse(resp.StatusCode)
}

// writeRejection reports to the entry side that the backend server did not run the request.
func (h *Handler) writeRejection(w http.ResponseWriter, r *http.Request, e *link.Exchange, info ResponseInfo) {
	e.Accept()
	_, _ = io.CopyN(io.Discard, e.Response.Body, maxRejectionBytes)
	err := result.New(result.BackendShed, "the backend server rejected the request with status %d", e.Response.StatusCode)
	if info.Replaced {
		id := r.Header.Get(link.HeaderBackend)
		h.options.OnReplaced(id)
		err = result.New(result.BackendUnknown, "another backend server has taken over the address of %q", id)
	}
	refuse(w, r, result.WithRun(err, result.NotRun))
}
