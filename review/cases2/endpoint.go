package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const heartbeatInterval = 1500 * time.Millisecond

// endpoint is a sound endpoint. The last segment of a path says how long it works, with how many bytes it answers, in how
// many equal pieces and over what time: WORKms-BYTES-PIECES-SPREADms.
type endpoint struct {
	node     *node
	id       string
	zone     string
	born     int64
	slots    chan struct{}
	server   *http.Server
	sequence atomic.Int64
	acked    atomic.Bool
	cancel   context.CancelFunc
	ended    chan struct{} // closed when no further heartbeat is sent

	mu   sync.Mutex
	runs []time.Time // when requests began to run
}

func newEndpoint(n *node, zone string, slots int) (*endpoint, error) {
	l, err := net.Listen("tcp", n.address("application"))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &endpoint{
		node: n, id: "i-" + n.name, zone: zone, born: time.Now().UnixMilli(), slots: make(chan struct{}, slots),
		cancel: cancel, ended: make(chan struct{}),
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(l) }()
	go e.runHeartbeats(ctx)
	return e, nil
}

// close ends the endpoint.
func (e *endpoint) close() {
	e.stopHeartbeats()
	_ = e.server.Close()
}

// stopHeartbeats returns once no further heartbeat is sent.
func (e *endpoint) stopHeartbeats() {
	e.cancel()
	<-e.ended
}

func (e *endpoint) acknowledged() bool { return e.acked.Load() }

// runsAfter returns how many requests began to run after a time.
func (e *endpoint) runsAfter(t time.Time) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, run := range e.runs {
		if run.After(t) {
			n++
		}
	}
	return n
}

// heartbeat returns the body of the next heartbeat.
func (e *endpoint) heartbeat() string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_remaining_s":0,"sequence_number":%d,"born":%d}`,
		e.node.service, e.node.address("application"), e.zone, cap(e.slots), e.sequence.Add(1), e.born)
}

// runHeartbeats sends a heartbeat every heartbeatInterval, until ctx ends.
func (e *endpoint) runHeartbeats(ctx context.Context) {
	defer close(e.ended)
	for ctx.Err() == nil {
		if e.call("heartbeat", e.heartbeat()) == http.StatusOK {
			e.acked.Store(true)
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// call makes a call to the control address on the machine and returns the status, or 0.
func (e *endpoint) call(name, body string) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+e.node.address("control")+"/rpc?call=instances."+name+"&of="+e.id,
		"application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Load-Report", fmt.Sprintf("%d,0,%d", len(e.slots), cap(e.slots)))
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", e.id)
		return
	case id == "":
		reject(w, http.StatusBadRequest)
		return
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != e.id:
		w.Header().Set("Instance-Id", e.id)
		reject(w, http.StatusMisdirectedRequest)
		return
	}
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	default:
		reject(w, http.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	e.runs = append(e.runs, time.Now())
	e.mu.Unlock()
	e.node.fleet.ran.Store(id, true)
	e.node.fleet.record.add("run      %s at %s", id, e.id)
	if e.run(w, r, id) {
		e.node.fleet.record.add("done     %s at %s", id, e.id)
	} else {
		e.node.fleet.record.add("cut      %s at %s", id, e.id)
	}
}

// reject answers a request that does not run.
func reject(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

// run works and answers, and reports whether it could do all of that.
func (e *endpoint) run(w http.ResponseWriter, r *http.Request, id string) bool {
	var work, size, pieces, spread int
	if _, err := fmt.Sscanf(lastSegment(r.URL.Path), "%d-%d-%d-%d", &work, &size, &pieces, &spread); err != nil || pieces < 1 {
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
	if !sleep(r.Context(), time.Duration(work)*time.Millisecond) {
		return false
	}
	w.Header().Set("Server-Stamp", "stamp-"+id)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", fmt.Sprint(size/pieces*pieces))
	part := []byte(strings.Repeat("x", size/pieces))
	for k := range pieces {
		if _, err := w.Write(part); err != nil {
			return false
		}
		if k < pieces-1 {
			if http.NewResponseController(w).Flush() != nil || !sleep(r.Context(), time.Duration(spread/pieces)*time.Millisecond) {
				return false
			}
		}
	}
	return true
}

// sleep waits, and reports whether ctx lasted so long.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
