package entry

import (
	"context"
	"net/http"
	"time"

	"amaranthstile/internal/bytebudget"
	"amaranthstile/internal/httpclient"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
)

// attempt is one sending of a request to an endpoint.
type attempt struct {
	endpoint membership.Candidate
	cancel   context.CancelFunc
	waits    bool // for a slot at the endpoint
	took     time.Duration
	load     string // of the endpoint, as the exit side reported it
	// statement is what the backend server said about itself, as the exit side reported it, "" if it said nothing.
	statement string
	lease     *bytebudget.Lease // of the request
	response  *bufferedResponse
	err       error
}

// close cancels the attempt; its response can't be read afterwards.
func (a *attempt) close() {
	a.cancel()
	if a.response != nil {
		_ = a.response.resp.Body.Close()
	}
}

// hasRetryableStatus reports whether the response was received whole and its status suggests that another endpoint may
// succeed.
func (a *attempt) hasRetryableStatus() bool {
	switch a.response.resp.StatusCode {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return a.response.rest == nil
	}
	return false
}

// send sends the request and buffers the beginning of the response.
func (h *Handler) send(ctx context.Context, a *attempt, out *http.Request, exchangeID string) {
	start := time.Now()
	e, err := h.options.Forwarder.Send(ctx, a.endpoint.Instance.Link.String(), out)
	if err == nil {
		a.response, err = a.receive(e, exchangeID)
	}
	a.took = time.Since(start)
	a.err = err
}

// receive checks that the response is the backend server's response to this exchange and buffers its beginning.
func (a *attempt) receive(e *link.Exchange, exchangeID string) (*bufferedResponse, error) {
	resp := e.Response
	a.load = resp.Header.Get(link.HeaderLoad)
	a.statement = resp.Header.Get(link.HeaderStatement)
	err := checkResponse(resp, exchangeID)
	if err == nil {
		e.Accept()
		var buffered *bufferedResponse
		a.lease.Force(responseCost(resp), time.Now())
		if buffered, err = bufferResponse(resp); err == nil {
			return buffered, nil
		}
	} else if resp.Header.Get(link.HeaderOrigin) != link.OriginBackend && result.CodeOf(err) != result.AnswerCrossed {
		e.Accept() // an error response of the exit side
		drain(resp)
	}
	_ = resp.Body.Close()
	return nil, err
}

// checkResponse returns the error that the exit side reported, or an error if the response belongs to another exchange or has an
// impossible status, which exit sides of earlier versions pass on.
func checkResponse(resp *http.Response, exchangeID string) error {
	if resp.Header.Get(link.HeaderOrigin) != link.OriginBackend {
		return link.ReadError(resp.Header)
	}
	if resp.Header.Get(link.HeaderExchange) != exchangeID {
		return result.WithRun(result.New(result.AnswerCrossed, "the response belongs to another exchange"), result.MayHaveRun)
	}
	return httpclient.CheckHead(resp)
}

// maxRefusalBytes bounds the JSON body of an error response of the exit side.
const maxRefusalBytes = 4 << 10

// drain reads an error response to its end, so that its connection can be reused.
func drain(resp *http.Response) {
	buf := make([]byte, maxRefusalBytes)
	for range 2 {
		if _, err := resp.Body.Read(buf); err != nil {
			return
		}
	}
}
