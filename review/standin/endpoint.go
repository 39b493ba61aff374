package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one run of a request at an endpoint.
type run struct {
	id       string
	endpoint *endpoint
	at       time.Time
}

// endpoint is a backend server as the users' pages describe it. It sends heartbeats, runs requests and says when it
// leaves.
type endpoint struct {
	machine *machine
	id      string
	born    time.Time // as its clock says
	slots   int
	work    time.Duration
	arrived func(run) // called for each request that it begins to run

	sequence  atomic.Int64
	draining  atomic.Bool
	silent    atomic.Bool  // it sends no heartbeats by itself
	lastBeat  atomic.Int64 // when it last sent one, in Unix nanoseconds
	running   chan struct{}
	server    *http.Server
	cancel    context.CancelFunc
	stopped   sync.WaitGroup
	ackedDown atomic.Pointer[time.Time] // when its draining or leave was acknowledged first
}

// newEndpoint starts an endpoint on a machine, and its heartbeats.
func newEndpoint(m *machine, id string, born time.Time, slots int, work time.Duration, arrived func(run)) (*endpoint, error) {
	e := &endpoint{machine: m, id: id, born: born, slots: slots, work: work, arrived: arrived}
	if err := e.listen(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.stopped.Go(func() { e.sendHeartbeats(ctx) })
	return e, nil
}

// listen lets the endpoint take requests.
func (e *endpoint) listen() error {
	l, err := net.Listen("tcp", e.machine.address("application"))
	if err != nil {
		return err
	}
	e.running = make(chan struct{}, e.slots)
	e.cancel = func() {}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	e.machine.fleet.record.add("endpoint %s of %s starts, born %d", e.id, e.machine.service, e.born.UnixMilli())
	return nil
}

// crash ends the endpoint at once and without a word.
func (e *endpoint) crash() {
	e.cancel()
	_ = e.server.Close()
	e.stopped.Wait()
	e.machine.fleet.record.add("endpoint %s ends", e.id)
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", e.id)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case e.running <- struct{}{}:
	default:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.running }()
	e.arrived(run{id: id, endpoint: e, at: time.Now()})
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Server-Stamp", e.id+"."+id)
	w.Header().Set("Load-Report", fmt.Sprintf("%d,0,%d", len(e.running), e.slots))
	answer := "ran " + id
	if strings.HasSuffix(r.URL.Path, largePath) {
		answer += strings.Repeat(" ", largeAnswer)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// sendHeartbeats sends heartbeats until ctx ends.
func (e *endpoint) sendHeartbeats(ctx context.Context) {
	for {
		if !e.silent.Load() {
			e.lastBeat.Store(time.Now().UnixNano())
			e.report(ctx, e.machine.address("control"), e.heartbeat())
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat returns the body of the next heartbeat.
func (e *endpoint) heartbeat() string {
	state := "ready"
	if e.draining.Load() {
		state = "draining"
	}
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_remaining_s":0,"sequence_number":%d,"born":%d}`,
		e.machine.service, e.machine.address("application"), e.machine.zone, e.slots, state, e.sequence.Add(1), e.born.UnixMilli())
}

// report sends a heartbeat and reports whether it was acknowledged.
func (e *endpoint) report(ctx context.Context, to, body string) bool {
	ok := e.call(ctx, to, "instances.heartbeat", body)
	if ok && strings.Contains(body, `"draining"`) {
		e.acked("draining")
	}
	return ok
}

// leave sends the leave call and reports whether it was acknowledged.
func (e *endpoint) leave() bool {
	body := fmt.Sprintf(`{"sequence_number":%d,"born":%d}`, e.sequence.Add(1), e.born.UnixMilli())
	ok := e.call(context.Background(), e.machine.address("control"), "instances.leave", body)
	if ok {
		e.acked("leave")
	}
	return ok
}

// acked records the first acknowledgement of the endpoint's leaving.
func (e *endpoint) acked(what string) {
	now := time.Now()
	if e.ackedDown.CompareAndSwap(nil, &now) {
		e.machine.fleet.record.add("endpoint %s: its %s is acknowledged", e.id, what)
	}
}

// call makes one call to the control address of a machine.
func (e *endpoint) call(ctx context.Context, to, name, body string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	target := fmt.Sprintf("http://%s/rpc?call=%s&of=%s", to, name, e.id)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
