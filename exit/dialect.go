package exit

import (
	"net/http"

	"amaranthstile/backend"
	"amaranthstile/link"
)

// Dialect is how requests are put to backend servers, and what their answers say of themselves.
type Dialect interface {
	// Request gives a request for a backend server the headers that it understands, in place of the product's own.
	Request(h http.Header, u *backend.Upstream)
	// Answer reads what an answer to r says of itself; r is the request as it came over the link.
	Answer(resp *http.Response, r *http.Request, u *backend.Upstream) Facts
}

// Facts are what an answer says of itself.
type Facts struct {
	// Crossed says that the answer belongs to another request.
	Crossed bool
	// NotRun says that the backend server did not run the request.
	NotRun bool
	// Gone says that another backend server is at the address; it did not run the request.
	Gone bool
	// EndsByClose says that an answer without a length may end with its connection.
	EndsByClose bool
}

// Own is the product's own dialect; docs/BACKEND-SERVERS.md describes it.
type Own struct{}

// Request implements Dialect.
func (Own) Request(h http.Header, _ *backend.Upstream) {
	for _, name := range []string{link.HeaderPriority, link.HeaderRepeat, link.HeaderLastResort, link.HeaderOriginService} {
		delete(h, name)
	}
}

// Answer implements Dialect.
func (Own) Answer(resp *http.Response, r *http.Request, u *backend.Upstream) Facts {
	return Facts{Crossed: u.EchoesExchange && resp.Header.Get(link.HeaderExchange) != r.Header.Get(link.HeaderExchange)}
}
