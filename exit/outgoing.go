package exit

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"amaranthstile/backend"
	"amaranthstile/link"
)

const maxTimeout = 10 * time.Minute

// timeout is what is left of the request's time limit.
func timeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(link.HeaderTimeout), 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return maxTimeout
	}
	return time.Duration(ms) * time.Millisecond
}

// outgoing is the request as the backend server sees it: without the key and the system's own headers.
func outgoing(ctx context.Context, r *http.Request, u *backend.Upstream) *http.Request {
	target := *r.URL
	target.Scheme = "http"
	target.Host = u.Address.String()
	out := &http.Request{
		Method:        r.Method,
		ProtoMajor:    1,
		ProtoMinor:    1, // without it, the transport would send a body before it is asked for
		URL:           &target,
		Host:          r.Host,
		Header:        make(http.Header, len(r.Header)),
		Body:          r.Body,
		ContentLength: r.ContentLength,
	}
	if held, ok := r.Body.(*heldReader); ok {
		out.GetBody = held.again
	}
	link.CopyEndToEnd(out.Header, r.Header)
	delete(out.Header, "Authorization")
	delete(out.Header, "Expect")
	out.Header.Set(link.HeaderExchange, r.Header.Get(link.HeaderExchange))
	for _, name := range []string{link.HeaderOriginService} {
		if v := r.Header.Get(name); v != "" {
			out.Header.Set(name, v)
		}
	}
	if account := r.Header.Get(link.HeaderAccount); account != "" {
		out.Header.Set(link.HeaderAccount, account)
	}
	if key := r.Header.Get(link.HeaderIdempotencyKey); key != "" {
		out.Header.Set("Idempotency-Key", key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		out.Header.Set(link.HeaderTimeout, strconv.FormatInt(left, 10))
	}
	return out
}
