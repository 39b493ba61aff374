// Package link connects two instances. It forwards requests over HTTP from the entry side, which accepts the
// requests of clients, to the exit side, which passes them to the backend server of its instance. It also carries
// the calls between instances over jsonrpc2.
package link

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// The headers that the instances exchange with each other, with clients and with backend servers. All of them start
// with HeaderPrefix. Headers with this prefix are not passed on from a client or a backend server.
const (
	HeaderPrefix = "Amaranth-"

	// HeaderCode, HeaderResult and HeaderRun are set on every error response that the fleet itself makes.
	HeaderCode   = "Amaranth-Code"
	HeaderResult = "Amaranth-Result"
	HeaderRun    = "Amaranth-Run"

	// HeaderTimeout is the time limit of a client in milliseconds. Towards the exit side and the backend server it
	// is the time that remains.
	HeaderTimeout = "Amaranth-Timeout-Ms"

	// HeaderExchange identifies one transfer of a request to another instance; the response repeats it.
	HeaderExchange = "Amaranth-Exchange"

	// HeaderBackend, HeaderAccount, HeaderKeyHash (SHA-256 in hexadecimal), HeaderWeight, HeaderRepeatable,
	// HeaderNoWait and HeaderIdempotencyKey are sent from the entry side to the exit side.
	HeaderBackend        = "Amaranth-Backend"
	HeaderAccount        = "Amaranth-Account"
	HeaderKeyHash        = "Amaranth-Key-Hash"
	HeaderWeight         = "Amaranth-Weight"
	HeaderRepeatable     = "Amaranth-Repeatable"
	HeaderNoWait         = "Amaranth-No-Wait"
	HeaderIdempotencyKey = "Amaranth-Idempotency-Key"

	// HeaderRevision is the revision of the configuration by which the entry side accepted the request's API key.
	HeaderRevision = "Amaranth-Revision"

	// HeaderLoad is the load of the endpoint, set on every response of the exit side: running requests, waiting
	// requests and slots, separated by ",".
	HeaderLoad = "Amaranth-Load"

	// HeaderStatement is what the backend server says about itself, in the format of backend.Statement: on a response what
	// it said there, on a request what the entry side saw last in a response.
	HeaderStatement = "Amaranth-Statement"

	// HeaderOrigin states who made a response on the link: OriginFleet or OriginBackend.
	HeaderOrigin = "Amaranth-Origin"
	// HeaderPriority, HeaderRetry, HeaderLastResort and HeaderOriginService are sent from the entry side to the
	// exit side: the priority of a waiting request, whether an earlier attempt reached a backend server, whether no
	// other endpoint accepts the request, and the service of the instance at which the request entered the fleet.
	HeaderPriority = "Amaranth-Priority"
	// HeaderRoutePriority is sent with HeaderPriority if the client account has a priority of its own: the priority of the
	// route, which orders the requests of accounts with equal priority. Instances of earlier versions ignore it.
	HeaderRoutePriority = "Amaranth-Route-Priority"
	// HeaderAcceptLate states that the request should wait for a response until its time limit, beyond its target, since no
	// other endpoint will be asked. HeaderRetryShare is sent with HeaderNestedCall: the probability, from 0 to 1, that the
	// request which made the call was itself retried. Instances of earlier versions ignore both.
	HeaderAcceptLate = "Amaranth-Accept-Late"
	HeaderRetryShare = "Amaranth-Repeat-Share"
	// HeaderRoute names the route. HeaderTargetLatency is the time in milliseconds until which a response has its
	// full value. HeaderNestedCall states that a backend server waits for the response.
	HeaderRoute         = "Amaranth-Route"
	HeaderTargetLatency = "Amaranth-Target-Ms"
	HeaderNestedCall    = "Amaranth-Call"
	HeaderRetry         = "Amaranth-Repeat"
	HeaderLastResort    = "Amaranth-Last-Resort"
	HeaderOriginService = "Amaranth-Origin-Service"
	// HeaderRetryAfter is set on error responses: the time in milliseconds after which a retry may succeed.
	HeaderRetryAfter = "Amaranth-Retry-After-Ms"
)

// The values of HeaderOrigin.
const (
	OriginFleet   = "fleet"
	OriginBackend = "backend"
)

// hopByHop holds the headers that apply to a single connection only.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// CopyEndToEnd copies the end-to-end headers. It leaves out hop-by-hop headers and reserved headers.
func CopyEndToEnd(to, from http.Header) {
	named := connectionOptions(from)
	for name, values := range from {
		if named[name] || IsReservedHeader(name) || hopByHop[name] {
			continue
		}
		to[name] = values
	}
}

// IsReservedHeader reports whether name starts with HeaderPrefix. It treats "_" like "-", as some servers do.
func IsReservedHeader(name string) bool {
	if len(name) < len(HeaderPrefix) {
		return false
	}
	return strings.EqualFold(strings.ReplaceAll(name[:len(HeaderPrefix)], "_", "-"), HeaderPrefix)
}

// CopyResponseHeader copies the end-to-end headers of a response, its length and the names of its trailers.
func CopyResponseHeader(to http.Header, resp *http.Response) {
	CopyEndToEnd(to, resp.Header)
	if resp.ContentLength >= 0 && hasBody(resp) {
		to.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	for name := range resp.Trailer {
		if isForwardedTrailer(name) {
			to.Add("Trailer", name)
		}
	}
}

// isForwardedTrailer reports whether a trailer is passed on.
func isForwardedTrailer(name string) bool { return !IsReservedHeader(name) && !hopByHop[name] }

// hasBody reports whether a response may have a body. If not, its Content-Length does not describe this response.
func hasBody(resp *http.Response) bool {
	if resp.Request != nil && resp.Request.Method == http.MethodHead {
		return false
	}
	return resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
}

// BodyLength returns the number of bytes in the body of a response, or -1 if it is not known before the end of the
// body.
func BodyLength(resp *http.Response) int64 {
	if !hasBody(resp) {
		return 0
	}
	return resp.ContentLength
}

// CopyTrailers copies the trailers of a response to the header of the response writer. It must be called after the
// body is written.
func CopyTrailers(to, trailer http.Header) {
	for name, values := range trailer {
		if isForwardedTrailer(name) {
			to[http.TrailerPrefix+name] = values
		}
	}
}

// connectionOptions returns the names of the headers that the Connection header lists as hop-by-hop.
func connectionOptions(h http.Header) map[string]bool {
	lines := h["Connection"]
	if len(lines) == 0 {
		return nil
	}
	out := make(map[string]bool)
	for _, line := range lines {
		for _, name := range strings.Split(line, ",") {
			out[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}
