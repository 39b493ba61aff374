package link

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"amaranthstile/result"
)

// ErrorBody is the JSON body of an error response that the fleet itself makes.
type ErrorBody struct {
	Code    result.Code      `json:"code"`
	Result  string           `json:"result"`
	Run     result.RunStatus `json:"run"`
	Message string           `json:"message"`
}

// WriteError responds with the result code and execution status of err, in headers and in a JSON body.
func WriteError(w http.ResponseWriter, err error) { writeErrorBody(w, err, err.Error()) }

// WriteClientError is like WriteError, but leaves out the causes of err: they name addresses inside the fleet,
// which clients must not see.
func WriteClientError(w http.ResponseWriter, err error) {
	writeErrorBody(w, err, result.MessageOf(err))
}

func writeErrorBody(w http.ResponseWriter, err error, message string) {
	code := result.CodeOf(err)
	body := ErrorBody{Code: code, Result: code.String(), Run: result.RunOf(err), Message: message}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderCode, strconv.Itoa(int(code)))
	h.Set(HeaderResult, code.String())
	h.Set(HeaderRun, string(body.Run))
	h.Set(HeaderOrigin, OriginFleet)
	if after := result.RetryAfterOf(err); after > 0 {
		h.Set(HeaderRetryAfter, strconv.FormatInt(after.Milliseconds()+1, 10))
	}
	w.WriteHeader(code.HTTPStatus())
	_ = json.NewEncoder(w).Encode(body)
}

// ReadError returns the error that a response made by the fleet carries. A response without a code gives no
// information, so the request may have run.
func ReadError(h http.Header) error {
	number, err := strconv.Atoi(h.Get(HeaderCode))
	if err != nil {
		return result.WithRun(result.New(result.LinkBroken, "the response of the other instance has no result code"), result.MayHaveRun)
	}
	code := result.Code(number)
	run := result.RunStatus(h.Get(HeaderRun))
	if run != result.NotRun && run != result.Ran {
		run = result.MayHaveRun
	}
	err = result.WithRun(result.New(code, "%s", code.Entry().Text), run)
	if ms, parseErr := strconv.ParseInt(h.Get(HeaderRetryAfter), 10, 32); parseErr == nil && ms > 0 {
		err = result.WithRetryAfter(err, time.Duration(ms)*time.Millisecond)
	}
	return err
}
