// Package exit is the exit side of an instance: it takes forwarded requests from entry sides and hands them to
// the backend servers in the instance's slots.
//
// A request is refused with "not run" while no byte of it was sent to the backend server; from then on it is
// handed over exactly once and its outcome is told as it is known.
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
	"amaranthstile/link"
	"amaranthstile/result"
	"amaranthstile/ticket"
)

// Options are the options of a Handler.
type Options struct {
	// Backends returns the present backend servers.
	Backends func() backend.UpstreamSet
	// Observer watches the exchanges with backend servers; default none.
	Observer backend.Observer
	// CheckKey returns nil while the key with this hash is the account's; it is asked for requests that waited for a
	// slot, whose key may have been withdrawn meanwhile. Default: nobody is asked.
	CheckKey func(account string, key ticket.Hash) error
	// Dialect is how backend servers are spoken to; default the product's own.
	Dialect Dialect
	// OnReplaced is told that another backend server is at the address of this one; default nobody.
	OnReplaced func(backend string)
}

// maxRejection is how much of a rejection is read so that its connection can be used again, in bytes.
const maxRejection = 4 << 10

// askAfter is the wait for a slot after which a request's key is looked up again.
const askAfter = 100 * time.Millisecond

// Handler serves the link listener of an instance.
type Handler struct {
	options Options
	guard   *guard
}

// New returns a handler.
func New(o Options) *Handler {
	if o.Observer == nil {
		o.Observer = backend.NoObserver{}
	}
	if o.Dialect == nil {
		o.Dialect = NativeDialect{}
	}
	if o.OnReplaced == nil {
		o.OnReplaced = func(string) {}
	}
	return &Handler{options: o, guard: newGuard()}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if link.AnswerPing(w, r) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout(r))
	defer cancel()
	u, err := h.unit(r)
	if err != nil {
		refuse(w, r, result.WithRun(err, result.NotRun))
		return
	}
	if err := holdBody(r); err != nil {
		refuse(w, r, result.WithRun(err, result.NotRun))
		return
	}
	arrived := time.Now()
	release, err := u.Gate.Acquire(ctx, claim(r))
	if err != nil {
		setLoad(w, u)
		refuse(w, r, result.WithRun(err, result.NotRun))
		return
	}
	defer release()
	if err := h.mayRun(r, time.Since(arrived)); err != nil {
		refuse(w, r, result.WithRun(err, result.NotRun))
		return
	}
	if !h.guard.first(r.Header.Get(link.HeaderExchange)) {
		refuse(w, r, result.WithRun(result.New(result.ExchangeRepeated, "handed over before"), result.MayHaveRun))
		return
	}
	h.handOver(ctx, w, r, u)
}

// heldBody is the size in bytes up to which a body is read before its request waits for a slot.
const heldBody = 64 << 10

// holdBody reads a short body whole. The server sees the entry side leave only once the body was read, and a request whose
// caller has left must not wait on for a slot. A longer body waits until it is asked for.
func holdBody(r *http.Request) error {
	if r.ContentLength <= 0 || r.ContentLength > heldBody || r.Header.Get("Expect") != "" {
		return nil
	}
	body := make([]byte, r.ContentLength)
	if err := link.ReadExactly(r.Body, body); err != nil {
		return result.Wrap(result.RequestInvalid, err, "the request's body broke off")
	}
	r.Body = newHeldReader(body)
	return nil
}

// heldReader is a body that was read whole.
type heldReader struct {
	*bytes.Reader
	body []byte
}

func newHeldReader(body []byte) *heldReader { return &heldReader{bytes.NewReader(body), body} }

// Close implements io.Closer.
func (*heldReader) Close() error { return nil }

// again returns the body once more.
func (h *heldReader) again() (io.ReadCloser, error) { return newHeldReader(h.body), nil }

// mayRun tells whether a request that got its slot may still be handed over.
func (h *Handler) mayRun(r *http.Request, waited time.Duration) error {
	if _, err := h.unit(r); err != nil {
		return err
	}
	account := r.Header.Get(link.HeaderAccount)
	if account == "" || waited < askAfter || h.options.CheckKey == nil {
		return nil
	}
	var key ticket.Hash
	if err := key.UnmarshalText([]byte(r.Header.Get(link.HeaderKeyHash))); err != nil {
		return result.Wrap(result.KeyRejected, err, "the key's hash")
	}
	return h.options.CheckKey(account, key)
}

// refuse answers with an error. A body that waits to be asked for stays unsent: the entry side may send it
// elsewhere.
func refuse(w http.ResponseWriter, r *http.Request, err error) {
	if r.Header.Get("Expect") != "" {
		w.Header().Set("Connection", "close")
	}
	link.WriteError(w, err)
}

// unit finds the backend server that the request is for, if it takes work.
func (h *Handler) unit(r *http.Request) (*backend.Upstream, error) {
	id := r.Header.Get(link.HeaderBackend)
	u, ok := h.options.Backends()[id]
	if !ok {
		return nil, result.New(result.BackendUnknown, "backend server %q is not announced here", id)
	}
	if !u.TakesWork() {
		return nil, result.New(result.BackendDraining, "backend server %q is draining", id)
	}
	return u, nil
}

func claim(r *http.Request) backend.SlotRequest {
	weight, _ := strconv.Atoi(r.Header.Get(link.HeaderWeight))
	priority, _ := strconv.Atoi(r.Header.Get(link.HeaderPriority))
	c := backend.SlotRequest{
		Account:    r.Header.Get(link.HeaderAccount),
		Weight:     max(weight, 1),
		NoWait:     r.Header.Get(link.HeaderNoWait) != "",
		Priority:   priority,
		Repeatable: r.Header.Get(link.HeaderRepeatable) != "",
		Retry:      r.Header.Get(link.HeaderRetry) != "",
		LastResort: r.Header.Get(link.HeaderLastResort) != "",
		Route:      r.Header.Get(link.HeaderRoute),
		NestedCall: r.Header.Get(link.HeaderNestedCall) != "",
	}
	if ms, err := strconv.Atoi(r.Header.Get(link.HeaderTargetLatency)); err == nil {
		c.SoftDeadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	return c
}

// setLoad tells the entry side the backend server's present load.
func setLoad(w http.ResponseWriter, u *backend.Upstream) {
	w.Header().Set(link.HeaderLoad, u.Gate.Load().String())
}

// handOver sends the request to the backend server and passes the answer on.
func (h *Handler) handOver(ctx context.Context, w http.ResponseWriter, r *http.Request, u *backend.Upstream) {
	observed := h.options.Observer.Begin(u.ID, r.Header.Get(link.HeaderRoute), time.Now())
	outcome := backend.OutcomeAborted
	defer func() { observed.End(time.Now(), outcome) }()
	out := outgoing(ctx, r, u)
	h.options.Dialect.PrepareRequest(out.Header, u)
	body := watchBody(out, observed)
	sending := ctx
	if r.Header.Get(link.HeaderRepeatable) == "" {
		sending = link.WithDelayedHeadEnd(ctx)
	}
	e, wrote, err := link.SendOnce(sending, u.Transport, out)
	setLoad(w, u)
	if err != nil {
		outcome = failed(ctx, wrote, body)
		refuse(w, r, sendError(ctx, err, wrote))
		return
	}
	resp := e.Response
	defer func() { _ = resp.Body.Close() }()
	observed.Head(time.Now())
	facts := h.options.Dialect.ReadResponse(resp, r, u)
	if facts.NotRun || facts.Replaced {
		outcome = backend.OutcomeShed
		h.rejected(w, r, e, facts)
		return
	}
	if err := check(resp, r, facts); err != nil {
		outcome = refused(err)
		refuse(w, r, result.WithRun(err, result.Ran))
		return
	}
	e.Accept()
	if err := passOn(w, r, resp); err != nil {
		outcome = broken(ctx, err)
		var cut *cutError
		if errors.As(err, &cut) {
			panic(http.ErrAbortHandler)
		}
		return
	}
	outcome = answered(resp.StatusCode)
}

// rejected tells the entry side that the backend server did not run the request.
func (h *Handler) rejected(w http.ResponseWriter, r *http.Request, e *link.Exchange, facts ResponseInfo) {
	e.Accept()
	_, _ = io.CopyN(io.Discard, e.Response.Body, maxRejection)
	err := result.New(result.BackendShed, "the backend server refused with %d", e.Response.StatusCode)
	if facts.Replaced {
		id := r.Header.Get(link.HeaderBackend)
		h.options.OnReplaced(id)
		err = result.New(result.BackendUnknown, "another backend server is at the address of %q", id)
	}
	refuse(w, r, result.WithRun(err, result.NotRun))
}
