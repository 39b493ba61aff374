// Package link joins two instances: it forwards requests from the entry side to the exit side over HTTP,
// and carries the calls between instances over jsonrpc2.
package link

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// The headers between the system's own parts and towards callers and backend servers.
// All of them start with HeaderPrefix, and none passes from a caller or a backend server.
const (
	HeaderPrefix = "Amaranth-"

	// HeaderCode, HeaderResult and HeaderRun are on every answer that the fleet itself makes.
	HeaderCode   = "Amaranth-Code"
	HeaderResult = "Amaranth-Result"
	HeaderRun    = "Amaranth-Run"

	// HeaderTimeout is a caller's own time limit in milliseconds, and what is left of it
	// towards the exit side and the backend server.
	HeaderTimeout = "Amaranth-Timeout-Ms"

	// HeaderExchange names one handing over of a request; answers repeat it.
	HeaderExchange = "Amaranth-Exchange"

	// HeaderBackend, HeaderAccount, HeaderKeyHash (SHA-256, in hexadecimal), HeaderWeight, HeaderRepeatable, HeaderNoWait and HeaderIdempotencyKey go from the entry
	// side to the exit side.
	HeaderBackend        = "Amaranth-Backend"
	HeaderAccount        = "Amaranth-Account"
	HeaderKeyHash        = "Amaranth-Key-Hash"
	HeaderWeight         = "Amaranth-Weight"
	HeaderRepeatable     = "Amaranth-Repeatable"
	HeaderNoWait         = "Amaranth-No-Wait"
	HeaderIdempotencyKey = "Amaranth-Idempotency-Key"

	// HeaderLoad tells the endpoint's load on every answer of the exit side: requests running, requests
	// waiting and slots, joined by ",".
	HeaderLoad = "Amaranth-Load"

	// HeaderOrigin says who made an answer on the link: OriginFleet or OriginBackend.
	HeaderOrigin = "Amaranth-Origin"
	// HeaderPriority, HeaderRepeat, HeaderLastResort and HeaderOriginService go from the entry side to the exit side: the
	// rank of a waiting request, whether an earlier try has reached a backend server, whether no other endpoint takes
	// the request, and the service beside which the request began.
	HeaderPriority = "Amaranth-Priority"
	// HeaderRoute names the route, HeaderTarget is the milliseconds until which an answer is worth most, HeaderCall says that
	// a backend server waits for the answer.
	HeaderRoute         = "Amaranth-Route"
	HeaderTargetLatency = "Amaranth-Target-Ms"
	HeaderNestedCall    = "Amaranth-Call"
	HeaderRetry         = "Amaranth-Repeat"
	HeaderLastResort    = "Amaranth-Last-Resort"
	HeaderOriginService = "Amaranth-Origin-Service"
	// HeaderRetryAfter is on refusals: the milliseconds after which trying again may help.
	HeaderRetryAfter = "Amaranth-Retry-After-Ms"
)

// The values of HeaderOrigin.
const (
	OriginFleet   = "fleet"
	OriginBackend = "backend"
)

// hopByHop are the headers that concern one connection.
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

// CopyEndToEnd copies the headers that pass from one side to the other: neither those of one connection
// nor the system's own.
func CopyEndToEnd(to, from http.Header) {
	named := connectionNamed(from)
	for name, values := range from {
		if named[name] || IsReservedHeader(name) || hopByHop[name] {
			continue
		}
		to[name] = values
	}
}

// IsReservedHeader tells whether a header is one of the system's own. Some servers take "_" in names for "-".
func IsReservedHeader(name string) bool {
	if len(name) < len(HeaderPrefix) {
		return false
	}
	return strings.EqualFold(strings.ReplaceAll(name[:len(HeaderPrefix)], "_", "-"), HeaderPrefix)
}

// CopyResponseHeader copies the headers of an answer that pass on, with its length and the names of its trailers.
func CopyResponseHeader(to http.Header, resp *http.Response) {
	CopyEndToEnd(to, resp.Header)
	if resp.ContentLength >= 0 && hasBody(resp) {
		to.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	for name := range resp.Trailer {
		if passesInTrailer(name) {
			to.Add("Trailer", name)
		}
	}
}

func passesInTrailer(name string) bool { return !IsReservedHeader(name) && !hopByHop[name] }

// hasBody tells whether an answer has a body, so that its Content-Length speaks of this answer.
func hasBody(resp *http.Response) bool {
	if resp.Request != nil && resp.Request.Method == http.MethodHead {
		return false
	}
	return resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
}

// BodyLength returns how many bytes an answer's body has, -1 if that is not known before its end.
func BodyLength(resp *http.Response) int64 {
	if !hasBody(resp) {
		return 0
	}
	return resp.ContentLength
}

// CopyTrailers passes an answer's trailers on, after its body.
func CopyTrailers(to, trailer http.Header) {
	for name, values := range trailer {
		if passesInTrailer(name) {
			to[http.TrailerPrefix+name] = values
		}
	}
}

// connectionNamed returns the headers that the Connection header names as its own.
func connectionNamed(h http.Header) map[string]bool {
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
