package sidecar_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/link"
	"amaranthstile/result"
	"amaranthstile/sidecar"
)

// TestPlannedStopAnswersRequestsThatItCannotFinish stops an instance while all backend servers hang: the requests that run and those
// that wait for a slot get a response before the forced kill, and what is said not to have run has not.
func TestPlannedStopAnswersRequestsThatItCannotFinish(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	configuration := testConfiguration(1)
	configuration.Routes["once"].TimeLimitMillis = 20_000
	store.put(t, configuration)
	bounds := sidecar.DefaultBounds()
	bounds.GracePeriod = 3500 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var nodes []*node
	for n := range 2 {
		node := startWith(t, store, n, "d", bounds)
		node.backend.setHandler(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
			case <-ctx.Done():
			}
		})
		nodes = append(nodes, node)
	}
	for _, node := range nodes {
		eventually(t, 15*time.Second, "both endpoints are known", func() bool { return node.EndpointCount(serviceName) == 2 && node.Ready() })
	}
	const before, after = 2, 8 // requests before and after the stop begins; the backend servers have 6 slots
	var requests sync.WaitGroup
	var mu sync.Mutex
	runs := make(map[result.RunStatus]int)
	send := func() {
		requests.Go(func() {
			run := sendOnce(t, nodes[0])
			mu.Lock()
			defer mu.Unlock()
			runs[run]++
		})
	}
	for range before {
		send()
	}
	time.Sleep(200 * time.Millisecond)
	started := time.Now()
	go func() {
		time.Sleep(time.Second)
		for range after {
			send()
		}
	}()
	nodes[0].Stop()
	is.True(time.Since(started) < bounds.GracePeriod)
	requests.Wait()
	ran := int(nodes[0].backend.runs.Load() + nodes[1].backend.runs.Load())
	t.Logf("%d runs, statements %v", ran, runs)
	is.Equal(runs[""], 0) // no connection was closed without a response
	is.Equal(runs[result.NotRun], before+after-ran)
	is.Equal(runs[result.MayHaveRun]+runs[result.Ran], ran)
}

// sendOnce sends a request that may run once and returns the statement on the run in the response, or "" without a response.
func sendOnce(t *testing.T, n *node) result.RunStatus {
	r, err := http.NewRequest(http.MethodPost, "http://"+n.settings.Clients.String()+"/once/x", nil)
	if err != nil {
		t.Error(err)
		return ""
	}
	resp, err := n.client.Do(r)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	return result.RunStatus(resp.Header.Get(link.HeaderRun))
}
