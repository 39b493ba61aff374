package entry_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/entry"
)

// TestRequestsOfOneConnectionOverlap sends four requests at once: the backend server answers the first one only after it
// has received the second one. A request that may run at most once starts after the responses to those before it, and
// what follows it waits, too. Each request has a decision of its own.
func TestRequestsOfOneConnectionOverlap(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	var mu sync.Mutex
	var order []string
	p := newPipeline(t, nil, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		order = append(order, r.URL.RawQuery)
		mu.Unlock()
		switch r.URL.RawQuery {
		case "1":
			<-second
			time.Sleep(20 * time.Millisecond) // the response to the second request is ready before
		case "2":
			close(second)
		}
		ok(w, r)
	})
	var decisions []string
	p.options.OnDecision = func(d entry.Decision) {
		mu.Lock()
		defer mu.Unlock()
		decisions = append(decisions, d.Request.URL.RawQuery)
	}
	p.listen(t)
	request := func(method, query, more string) string {
		return method + " /open?" + query + " HTTP/1.1\r\nHost: h\r\n" + more + "\r\n"
	}
	got := p.sendRaw(request("GET", "1", "") + request("GET", "2", "") +
		request("POST", "3", "Content-Length: 0\r\n") + request("GET", "4", "Connection: close\r\n"))
	is.Equal(len(got), 4)
	for n, body := range []string{"GET /open?1 ", "GET /open?2 ", "POST /open?3 ", "GET /open?4 "} {
		is.Equal(got[n].body, body)
	}
	is.Equal(order[2:], []string{"3", "4"})
	is.Equal(len(decisions), 4)
	is.Equal(p.runs.Load(), int32(4))
}
