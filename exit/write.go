package exit

import (
	"context"
	"errors"
	"io"
	"net/http"

	"amaranthstile/link"
	"amaranthstile/result"
)

// maxBufferedResponse is the size in bytes up to which a response of known length is read whole before it is passed on.
const maxBufferedResponse = 64 << 10

// exchangeError returns the error for an exchange with the backend server that failed with err. The argument wrote
// reports whether any byte of the request may have been sent.
func exchangeError(ctx context.Context, err error, wrote bool) error {
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
	if result.Is(context.Cause(ctx), result.ShuttingDown) {
		code = result.ShuttingDown
	}
	return result.WithRun(result.Wrap(code, err, "backend server"), run)
}

// checkResponse returns an error for a response that is not a response to this request or whose end can't be detected.
func checkResponse(resp *http.Response, r *http.Request, info ResponseInfo) error {
	if info.Crossed {
		return result.New(result.AnswerCrossed, "the response belongs to another exchange")
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return result.New(result.AnswerProtocol, "the response switches protocols, which the request did not ask for")
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && r.Method != http.MethodHead && !info.CloseDelimited {
		return result.New(result.AnswerTruncated, "the response has neither a length nor chunks, so its end can't be detected")
	}
	return nil
}

// writeResponse passes the response on to the entry side. A short response is read whole first, so that one that ends
// early is reported with its result code. If a longer one ends early, the error is a brokenResponseError.
func writeResponse(w http.ResponseWriter, r *http.Request, resp *http.Response) error {
	if err := bufferCloseDelimited(resp); err != nil {
		link.WriteError(w, result.WithRun(err, result.Ran))
		return err
	}
	length := link.BodyLength(resp)
	short := length >= 0 && length <= maxBufferedResponse
	var body []byte
	if short {
		body = make([]byte, length)
		if err := link.ReadExactly(resp.Body, body); err != nil {
			err = result.Wrap(result.AnswerTruncated, err, "the response ended early")
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
	source := &observedResponse{Reader: resp.Body}
	if _, err := io.Copy(link.NewFlushWriter(w), source); err != nil {
		return &brokenResponseError{cause: err, byBackend: source.readFailed}
	}
	link.CopyTrailers(w.Header(), resp.Trailer)
	return nil
}

// brokenResponseError reports that a response ended early after its head was passed on. The connection of the link must
// be broken too, so that the entry side can't mistake the received part for the whole response.
type brokenResponseError struct {
	cause error
	// byBackend reports whether the backend server broke the response, rather than the entry side.
	byBackend bool
}

// Error implements error.
func (e *brokenResponseError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *brokenResponseError) Unwrap() error { return e.cause }
