package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"amaranthstile/idempotency"
	"amaranthstile/link"
	"amaranthstile/result"
)

// headerReplayed marks responses that were recorded for an earlier request with the same Idempotency-Key.
const headerReplayed = "Amaranth-Replayed"

// PrefixResponse is the body of the response to a request for idempotency.KeyPrefixPath.
type PrefixResponse struct {
	// Prefix is the prefix that Idempotency-Keys must have. It is valid for a day from now on.
	Prefix string `json:"prefix"`
}

// servePrefix responds with the prefix that a client's Idempotency-Keys must have.
func (h *Handler) servePrefix(w http.ResponseWriter, r *http.Request) {
	leaveBodyUnread(w, r)
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

// readIdempotencyKey reads and checks the client's Idempotency-Key, if there is one.
func (s *requestState) readIdempotencyKey() error {
	keys := s.request.Header["Idempotency-Key"]
	if len(keys) == 0 {
		return nil
	}
	if len(keys) > 1 {
		return result.New(result.IdempotencyKeyForm, "more than one Idempotency-Key")
	}
	if err := idempotency.CheckKey(keys[0]); err != nil {
		return err
	}
	if s.bodyRest != nil {
		return result.New(result.RequestTooLarge, "a request with an Idempotency-Key may have a body of at most %d bytes", maxBufferedBody)
	}
	s.idempotencyKey = keys[0]
	return nil
}

// digest returns a hash of the request's content. It covers the route instead of the host, since a client may send the
// same request to any instance.
func (s *requestState) digest() string {
	r := s.request
	sum := sha256.New()
	for _, part := range []string{r.Method, s.route.Name, r.URL.RequestURI(), r.Header.Get("Content-Type")} {
		_, _ = io.WriteString(sum, part)
		_, _ = sum.Write([]byte{0})
	}
	_, _ = sum.Write(s.bodyHead)
	return hex.EncodeToString(sum.Sum(nil))
}

// serveIdempotent runs a request with an Idempotency-Key unless an earlier request with the key may have run.
func (h *Handler) serveIdempotent(ctx context.Context, w http.ResponseWriter, state *requestState) {
	request := idempotency.Request{Key: state.idempotencyKey, Digest: state.digest()}
	request.Deadline, _ = ctx.Deadline()
	if state.account != nil {
		request.Account = state.account.Name
	}
	claim, record, err := h.options.Idempotency.Begin(ctx, request)
	if err != nil {
		h.refuse(w, state, err)
		return
	}
	if record != nil {
		replay(w, state.request, record)
		return
	}
	winner, err := h.run(ctx, state)
	if err != nil {
		claim.Settle(outcomeOf(err), nil)
		h.refuse(w, state, err)
		return
	}
	defer winner.close()
	claim.Settle(idempotency.Ran, recordOf(winner.response))
	h.options.OnDecision(state.decision(winner, nil))
	h.writeResponse(w, state.request, winner.response)
}

// outcomeOf returns the outcome to store for a key whose request failed with err.
func outcomeOf(err error) idempotency.Outcome {
	switch result.RunOf(err) {
	case result.NotRun:
		return idempotency.Released
	case result.Ran:
		return idempotency.Ran
	}
	return idempotency.MayHaveRun
}

// recordOf returns the record to replay to later requests with the key, or nil if the response is too long to buffer.
func recordOf(b *bufferedResponse) *idempotency.Record {
	if b.rest != nil {
		return nil
	}
	header := make(http.Header)
	link.CopyEndToEnd(header, b.resp.Header)
	return &idempotency.Record{Status: b.resp.StatusCode, Header: header, Body: b.head}
}

// replay responds with a recorded response.
func replay(w http.ResponseWriter, r *http.Request, record *idempotency.Record) {
	link.CopyEndToEnd(w.Header(), record.Header)
	w.Header().Set(headerReplayed, "1")
	closeAfterAmbiguousFraming(w, r)
	w.WriteHeader(record.Status)
	_, _ = w.Write(record.Body)
}
