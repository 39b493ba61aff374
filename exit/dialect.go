package exit

import (
	"net/http"

	"amaranthstile/backend"
	"amaranthstile/link"
)

// Dialect defines the headers of requests to backend servers and interprets the responses.
type Dialect interface {
	// PrepareRequest replaces the native headers of a request by those that the backend server understands.
	PrepareRequest(h http.Header, u *backend.Upstream)
	// ReadResponse interprets a response to r, where r is the request as it arrived over the link.
	ReadResponse(resp *http.Response, r *http.Request, u *backend.Upstream) ResponseInfo
}

// ResponseInfo is what the headers and the status of a response mean in a Dialect.
type ResponseInfo struct {
	// Crossed reports whether the response belongs to another request.
	Crossed bool
	// NotRun reports whether the backend server states that it did not run the request.
	NotRun bool
	// Replaced reports whether another backend server has taken over the address. It did not run the request.
	Replaced bool
	// Statement is what the backend server says about itself.
	Statement backend.Statement
	// CloseDelimited reports whether a response without a length may end with its connection.
	CloseDelimited bool
}

// NativeDialect is this project's own dialect; docs/BACKEND-SERVERS.md describes it.
type NativeDialect struct{}

// PrepareRequest implements Dialect.
func (NativeDialect) PrepareRequest(h http.Header, _ *backend.Upstream) {
	for _, name := range []string{link.HeaderPriority, link.HeaderRetry, link.HeaderLastResort, link.HeaderOriginService} {
		delete(h, name)
	}
}

// ReadResponse implements Dialect.
func (NativeDialect) ReadResponse(resp *http.Response, r *http.Request, u *backend.Upstream) ResponseInfo {
	return ResponseInfo{Crossed: u.EchoesExchange && resp.Header.Get(link.HeaderExchange) != r.Header.Get(link.HeaderExchange)}
}
