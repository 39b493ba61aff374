package exit

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"amaranthstile/link"
	"amaranthstile/result"
)

// shortAnswer is the size in bytes up to which an answer of known length is passed on in one piece.
const shortAnswer = 64 << 10

// maxByClose is the size in bytes up to which an answer that ends with its connection is held whole.
const maxByClose = 4 << 20

// sendError says what a failed exchange with the backend server means.
func sendError(ctx context.Context, err error, wrote bool) error {
	run := result.MayHaveRun
	code := result.BackendAborted
	if !wrote {
		run = result.NotRun
		code = result.BackendUnreachable
	}
	if ctx.Err() != nil {
		code = result.BackendTimeout
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		code = result.CallerGone
	}
	return result.WithRun(result.Wrap(code, err, "backend server"), run)
}

// check refuses an answer that is not the whole answer to this request.
func check(resp *http.Response, r *http.Request, facts ResponseInfo) error {
	if facts.Crossed {
		return result.New(result.AnswerCrossed, "the answer belongs to another exchange")
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return result.New(result.AnswerProtocol, "the answer switches protocols, which nobody asked for")
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && r.Method != http.MethodHead && !facts.CloseDelimited {
		return result.New(result.AnswerTruncated, "the answer has neither a length nor chunks, so its end can't be seen")
	}
	return nil
}

// measureByClose reads an answer that ends with its connection whole, so that the entry side sees its length. A connection
// that is reset ends no answer.
func measureByClose(resp *http.Response) error {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || link.BodyLength(resp) == 0 {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxByClose+1))
	if err != nil {
		return result.Wrap(result.AnswerTruncated, err, "the answer broke off")
	}
	if len(body) > maxByClose {
		return result.New(result.AnswerTruncated, "an answer without a length has more than %d bytes", maxByClose)
	}
	_ = resp.Body.Close()
	resp.ContentLength, resp.Body = int64(len(body)), io.NopCloser(bytes.NewReader(body))
	return nil
}

// passOn gives the answer to the entry side. A short answer is read whole first, so that one that breaks off is
// told as what it is; a longer one that breaks off is ended by cut.
func passOn(w http.ResponseWriter, r *http.Request, resp *http.Response) error {
	if err := measureByClose(resp); err != nil {
		link.WriteError(w, result.WithRun(err, result.Ran))
		return err
	}
	length := link.BodyLength(resp)
	short := length >= 0 && length <= shortAnswer
	var body []byte
	if short {
		body = make([]byte, length)
		if err := link.ReadExactly(resp.Body, body); err != nil {
			err = result.Wrap(result.AnswerTruncated, err, "the answer broke off")
			link.WriteError(w, result.WithRun(err, result.Ran))
			return err
		}
	}
	link.CopyResponseHeader(w.Header(), resp)
	w.Header().Set(link.HeaderOrigin, link.OriginBackend)
	w.Header().Set(link.HeaderExchange, r.Header.Get(link.HeaderExchange))
	w.WriteHeader(resp.StatusCode)
	if short {
		_, err := w.Write(body)
		return err
	}
	from := &watchedAnswer{Reader: resp.Body}
	if _, err := io.Copy(link.NewFlushWriter(w), from); err != nil {
		return &cutError{cause: err, ofBackend: from.broke}
	}
	link.CopyTrailers(w.Header(), resp.Trailer)
	return nil
}

// cutError is the breaking off of an answer whose head was already passed on. The link's connection must break too,
// so that the entry side can't take what came for the whole answer.
type cutError struct {
	cause error
	// ofBackend says that the backend server broke it off, and not the entry side.
	ofBackend bool
}

// Error implements error.
func (e *cutError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *cutError) Unwrap() error { return e.cause }
