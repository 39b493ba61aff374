package link

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"amaranthstile/result"
)

// ErrorBody is the JSON body of an answer that the fleet itself makes.
type ErrorBody struct {
	Code    result.Code      `json:"code"`
	Result  string           `json:"result"`
	Run     result.RunStatus `json:"run"`
	Message string           `json:"message"`
}

// WriteError answers with err's code and statement on the run, in headers and a JSON body.
func WriteError(w http.ResponseWriter, err error) { write(w, err, err.Error()) }

// WriteClientError is WriteError towards callers, who are not shown the causes, which name addresses inside the fleet.
func WriteClientError(w http.ResponseWriter, err error) { write(w, err, result.MessageOf(err)) }

func write(w http.ResponseWriter, err error, message string) {
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

// ReadError returns the error that an answer made by the fleet carries.
// An answer without a code says nothing, so the request may have run.
func ReadError(h http.Header) error {
	n, err := strconv.Atoi(h.Get(HeaderCode))
	if err != nil {
		return result.WithRun(result.New(result.LinkBroken, "the other instance's answer has no code"), result.MayHaveRun)
	}
	code := result.Code(n)
	run := result.RunStatus(h.Get(HeaderRun))
	if run != result.NotRun && run != result.Ran {
		run = result.MayHaveRun
	}
	err = result.WithRun(result.New(code, "%s", code.Entry().Text), run)
	if ms, bad := strconv.ParseInt(h.Get(HeaderRetryAfter), 10, 32); bad == nil && ms > 0 {
		err = result.WithRetryAfter(err, time.Duration(ms)*time.Millisecond)
	}
	return err
}
