package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// closedBehindAStream stops an instance as planned while clients receive a long response and have sent a second request
// behind it, which the instance has passed on: each request must be answered, unless a response before it said that it
// closes the channel. Requests that were not passed on, and channels that end in the last sixth of the grace period, don't count.
func closedBehindAStream(r *record, trouble bool) (broken bool, err error) {
	const clients = 4
	f, err := newFleet(r, qllMeshGrown, []route{{"ledger", "safe", "ledger", 12}}, []string{"ledger", "ledger", "ledger", "ledger"}, 8)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	stopped := f.nodes[0]
	var running sync.WaitGroup
	var mu sync.Mutex
	var lostAt []time.Time
	for c := range clients {
		running.Go(func() {
			if !pipelineBehindStream(f, stopped, c) {
				mu.Lock()
				defer mu.Unlock()
				lostAt = append(lostAt, time.Now())
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	excusedFrom := time.Now().Add(gracePeriod * 5 / 6)
	if trouble {
		r.add("SIGTERM  %s", stopped.name)
		running.Go(func() {
			stopped.stop()
			r.add("ended    %s", stopped.name)
		})
	}
	running.Wait()
	lost := 0
	for _, t := range lostAt {
		if t.Before(excusedFrom) {
			lost++
		}
	}
	r.add("%d of %d clients got no answer to a request that was passed on", lost, clients)
	return lost > 0, nil
}

// pipelineBehindStream sends two safe requests on one channel. The response to the first one arrives over 3.6 s. It
// reports whether both got their whole answers, apart from what was not passed on or sent behind a response that closes the
// channel.
func pipelineBehindStream(f *fleet, n *node, client int) bool {
	r := f.record
	const deadline = 20 * time.Second
	first, second := newID(), newID()
	conn, err := net.Dial("tcp", n.address("outbound"))
	if err != nil {
		r.add("client %d: %v", client, err)
		return true
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	r.add("sent     %s and behind it %s, client %d", first, second, client)
	_, _ = io.WriteString(conn, requestHead("GET", "/ledger/200-200000-20-3600", first, key, deadline)+
		requestHead("GET", "/ledger/100-400-1-0", second, key, deadline))
	in := bufio.NewReader(conn)
	for _, id := range []string{first, second} {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			_, passedOn := f.ran.Load(id)
			r.add("unanswered %s: %v; passed on: %v", id, err, passedOn)
			return !passedOn
		}
		n, err := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		r.add("answered %s: %d, %d bytes, closes: %v, error: %v, %s", id, resp.StatusCode, n, resp.Close, err,
			strings.TrimSpace(fmt.Sprint(resp.Header["Connection"])))
		if resp.Close {
			return true // what was sent behind it counts as not read
		}
		if err != nil {
			return false
		}
	}
	return true
}
