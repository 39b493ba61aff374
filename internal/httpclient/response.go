package httpclient

import (
	"net/http"

	"amaranthstile/result"
)

// The statuses of final responses.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// CheckHead returns an error for a status that no final response can have: Go's HTTP client accepts any three characters that
// parse as a number. Such a response says nothing about the request, so the error carries AnswerProtocol and MayHaveRun. A
// switch of protocols (101) is not judged here.
func CheckHead(resp *http.Response) error {
	s := resp.StatusCode
	if s >= minFinalStatus && s <= maxFinalStatus || s == http.StatusSwitchingProtocols {
		return nil
	}
	return result.WithRun(result.New(result.AnswerProtocol, "the response has the impossible status %03d", s), result.MayHaveRun)
}

// Checked returns a transport that sends requests over t and returns the error of CheckHead in place of a response that has one.
func Checked(t http.RoundTripper) http.RoundTripper { return checkedTransport{t} }

type checkedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
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
