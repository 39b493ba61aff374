package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"amaranthstile/link"
	"amaranthstile/once"
	"amaranthstile/result"
)

// headerReplayed is on answers that were recorded for an earlier try.
const headerReplayed = "Amaranth-Replayed"

// PrefixResponse is the body of the answer on once.PathPrefix.
type PrefixResponse struct {
	// Prefix is what Idempotency-Keys begin with from now on, for a day.
	Prefix string `json:"prefix"`
}

// servePrefix tells a caller what its Idempotency-Keys begin with.
func (h *Handler) servePrefix(w http.ResponseWriter, r *http.Request) {
	prefix, err := h.options.Idempotency.Prefix(r.Context())
	if err != nil {
		h.options.WriteError(w, result.WithRun(err, result.NotRun))
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	header.Set(link.HeaderCode, strconv.Itoa(int(result.OK)))
	header.Set(link.HeaderResult, result.OK.String())
	header.Set(link.HeaderRun, string(result.NotRun))
	_ = json.NewEncoder(w).Encode(PrefixResponse{Prefix: prefix})
}

// takeKey reads the caller's Idempotency-Key.
func (t *transfer) takeKey() error {
	keys := t.request.Header["Idempotency-Key"]
	if len(keys) == 0 {
		return nil
	}
	if len(keys) > 1 {
		return result.New(result.IdempotencyKeyForm, "more than one Idempotency-Key")
	}
	if err := once.CheckKey(keys[0]); err != nil {
		return err
	}
	if t.rest != nil {
		return result.New(result.RequestTooLarge, "with an Idempotency-Key the body has at most %d bytes", bodyBuffer)
	}
	t.key = keys[0]
	return nil
}

// digest identifies the request's content. The route stands for the host, since a caller may address any instance.
func (t *transfer) digest() string {
	r := t.request
	sum := sha256.New()
	for _, part := range []string{r.Method, t.route.Name, r.URL.RequestURI(), r.Header.Get("Content-Type")} {
		_, _ = io.WriteString(sum, part)
		_, _ = sum.Write([]byte{0})
	}
	_, _ = sum.Write(t.head)
	return hex.EncodeToString(sum.Sum(nil))
}

// serveOnce runs a request with an Idempotency-Key unless an earlier try may have run.
func (h *Handler) serveOnce(ctx context.Context, w http.ResponseWriter, t *transfer) {
	request := once.Request{Key: t.key, Digest: t.digest()}
	request.Deadline, _ = ctx.Deadline()
	if t.account != nil {
		request.Account = t.account.Name
	}
	try, record, err := h.options.Idempotency.Begin(ctx, request)
	if err != nil {
		h.refuse(w, t, err)
		return
	}
	if record != nil {
		replay(w, t.request, record)
		return
	}
	won, err := h.run(ctx, t)
	if err != nil {
		try.Settle(outcomeOf(err), nil)
		h.refuse(w, t, err)
		return
	}
	defer won.close()
	try.Settle(once.Ran, recordOf(won.answer))
	h.options.OnDecision(t.decision(won, nil))
	h.deliver(w, t.request, won.answer)
}

func outcomeOf(err error) once.Outcome {
	switch result.RunOf(err) {
	case result.NotRun:
		return once.Released
	case result.Ran:
		return once.Ran
	}
	return once.MayHaveRun
}

// recordOf is what later tries are answered, nil for an answer that is too long to be held.
func recordOf(a *answer) *once.Record {
	if a.rest != nil {
		return nil
	}
	header := make(http.Header)
	link.CopyEndToEnd(header, a.resp.Header)
	return &once.Record{Status: a.resp.StatusCode, Header: header, Body: a.head}
}

// replay answers with a recorded answer.
func replay(w http.ResponseWriter, r *http.Request, record *once.Record) {
	link.CopyEndToEnd(w.Header(), record.Header)
	w.Header().Set(headerReplayed, "1")
	closeAfter(w, r)
	w.WriteHeader(record.Status)
	_, _ = w.Write(record.Body)
}
