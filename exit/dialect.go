package exit

import (
	"net/http"

	"amaranthstile/backend"
	"amaranthstile/link"
)

// Dialect is how requests are put to backend servers, and what their answers say of themselves.
type Dialect interface {
	// PrepareRequest gives a request for a backend server the headers that it understands, in place of the product's own.
	PrepareRequest(h http.Header, u *backend.Upstream)
	// ReadResponse reads what an answer to r says of itself; r is the request as it came over the link.
	ReadResponse(resp *http.Response, r *http.Request, u *backend.Upstream) ResponseInfo
}

// ResponseInfo are what an answer says of itself.
type ResponseInfo struct {
	// Crossed says that the answer belongs to another request.
	Crossed bool
	// NotRun says that the backend server did not run the request.
	NotRun bool
	// Replaced says that another backend server is at the address; it did not run the request.
	Replaced bool
	// CloseDelimited says that an answer without a length may end with its connection.
	CloseDelimited bool
}

// NativeDialect is the product's own dialect; docs/BACKEND-SERVERS.md describes it.
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
