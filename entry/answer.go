package entry

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"amaranthstile/link"
	"amaranthstile/result"
)

// deliver gives the answer to the caller. An answer that breaks off breaks the caller's connection, so that it
// can't be taken for whole.
func (h *Handler) deliver(w http.ResponseWriter, r *http.Request, a *answer) {
	if err := showEnd(w, r, a); err != nil {
		h.answerWith(w, r, err)
		return
	}
	link.CopyResponseHeader(w.Header(), a.resp)
	closeAfter(w, r)
	w.WriteHeader(a.resp.StatusCode)
	if _, err := w.Write(a.head); err != nil && len(a.head) > 0 {
		panic(http.ErrAbortHandler)
	}
	if a.rest != nil {
		stream(w, a.rest)
	}
	link.CopyTrailers(w.Header(), a.resp.Trailer)
}

// showEnd gives an answer of unknown length to a caller of HTTP/1.0 its length, since closing the connection is no
// sign of a whole answer. The error says that this can't be done.
func showEnd(w http.ResponseWriter, r *http.Request, a *answer) error {
	if r.ProtoAtLeast(1, 1) || link.BodyLength(a.resp) >= 0 {
		return nil
	}
	if a.rest != nil {
		return result.WithRun(result.New(result.AnswerEndUnseen, "HTTP/1.0 can't show the end of this answer"), result.Ran)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.head)))
	return nil
}

func stream(w http.ResponseWriter, rest io.Reader) {
	if http.NewResponseController(w).Flush() != nil {
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(link.NewFlushWriter(w), rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// refuse answers with an error of the fleet's own. The rest of the request's body is not waited for long.
func (h *Handler) refuse(w http.ResponseWriter, t *transfer, err error) {
	h.options.OnDecision(t.decision(nil, err))
	h.answerWith(w, t.request, err)
}

func (h *Handler) answerWith(w http.ResponseWriter, r *http.Request, err error) {
	if r.Body != nil && r.Body != http.NoBody {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBody))
	}
	closeAfter(w, r)
	h.options.WriteError(w, err)
}

// closeAfter ends the connection after requests whose end two readers might see in two places: those in chunks,
// which may have carried a length too, and those of HTTP/1.0.
func closeAfter(w http.ResponseWriter, r *http.Request) {
	if len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1) {
		w.Header().Set("Connection", "close")
	}
}
