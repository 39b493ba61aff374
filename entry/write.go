package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"amaranthstile/link"
	"amaranthstile/result"
)

// writeResponse passes the response on to the client. If the response ends early, the client's connection is broken
// too, so that the client can't mistake the response for a whole one.
func (h *Handler) writeResponse(w http.ResponseWriter, r *http.Request, b *bufferedResponse) {
	if err := setLengthForHTTP10(w, r, b); err != nil {
		h.writeError(w, r, err)
		return
	}
	link.CopyResponseHeader(w.Header(), b.resp)
	closeAfterAmbiguousFraming(w, r)
	w.WriteHeader(b.resp.StatusCode)
	if _, err := w.Write(b.head); err != nil && len(b.head) > 0 {
		panic(http.ErrAbortHandler)
	}
	if b.rest != nil {
		streamRest(w, b.rest)
	}
	link.CopyTrailers(w.Header(), b.resp.Trailer)
}

// setLengthForHTTP10 sets the Content-Length of a response of unknown length to an HTTP/1.0 client, since the end of
// the connection does not prove that a response is whole. It returns an error if the length is still not known.
func setLengthForHTTP10(w http.ResponseWriter, r *http.Request, b *bufferedResponse) error {
	if r.ProtoAtLeast(1, 1) || link.BodyLength(b.resp) >= 0 {
		return nil
	}
	if b.rest != nil {
		return result.WithRun(result.New(result.AnswerEndUnseen, "HTTP/1.0 can't mark the end of this response"), result.Ran)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b.head)))
	return nil
}

// streamRest copies the rest of a response to the client as it arrives.
func streamRest(w http.ResponseWriter, rest io.Reader) {
	if http.NewResponseController(w).Flush() != nil {
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(link.NewFlushWriter(w), rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// refuse reports the decision and responds with an error that the fleet itself detected.
func (h *Handler) refuse(w http.ResponseWriter, state *requestState, err error) {
	if cause := context.Cause(state.request.Context()); result.Is(cause, result.ShuttingDown) {
		err = result.WithRun(result.Wrap(result.ShuttingDown, err, "the request could not be finished before the shutdown"), result.RunOf(err))
	}
	h.options.OnDecision(state.decision(nil, err))
	h.writeError(w, state.request, err)
}

// writeError writes an error response.
func (h *Handler) writeError(w http.ResponseWriter, r *http.Request, err error) {
	leaveBodyUnread(w, r)
	closeAfterAmbiguousFraming(w, r)
	h.options.WriteError(w, err)
}

// leaveBodyUnread makes the server wait for a short time only for the rest of a short body, and for none of a longer one.
// Then the connection is closed after the response.
func leaveBodyUnread(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	wait := unreadBodyTimeout
	if r.ContentLength < 0 || r.ContentLength > maxUnreadBody {
		w.Header().Set("Connection", "close")
		wait = 0
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(wait))
}

// closeAfterAmbiguousFraming closes the connection after requests whose end two parsers might see in different places:
// chunked requests, which may have had a Content-Length too, and HTTP/1.0 requests.
func closeAfterAmbiguousFraming(w http.ResponseWriter, r *http.Request) {
	if len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1) {
		w.Header().Set("Connection", "close")
	}
}
