package httpclient

import (
	"net/http"
	"net/http/httptrace"

	"golang.org/x/net/http/httpguts"

	"amaranthstile/result"
)

// The statuses of final responses.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// CheckHead returns an error for a response that is no HTTP. Go's HTTP client accepts any three characters that parse as a number
// as a status, also one that no final response can have, and blanks in the names of fields, so that one such as Content-Length
// goes unseen. A Conn refuses such names before, unless it is under TLS. The response says nothing about the request, so the error
// carries AnswerProtocol and MayHaveRun. A switch of protocols (101) is not judged here.
func CheckHead(resp *http.Response) error {
	s := resp.StatusCode
	if s != http.StatusSwitchingProtocols && (s < minFinalStatus || s > maxFinalStatus) {
		return result.WithRun(result.New(result.AnswerProtocol, "the response has the impossible status %03d", s), result.MayHaveRun)
	}
	return checkFieldNames(resp.Header)
}

// CheckTrailer returns an error, as CheckHead does, if the name of a field in the trailer of a response is malformed. It must be
// called after the body was read.
func CheckTrailer(resp *http.Response) error { return checkFieldNames(resp.Trailer) }

func checkFieldNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return result.WithRun(result.New(result.AnswerProtocol, "the response has a malformed field name"), result.MayHaveRun)
		}
	}
	return nil
}

// Checked returns a transport that sends requests over t, and returns an error in place of a response with a malformed head.
func Checked(t http.RoundTripper) http.RoundTripper { return checkedTransport{t} }

type checkedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { ExpectHead(info.Conn) }}
	resp, err := t.RoundTripper.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections is called by http.Client.
func (t checkedTransport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
