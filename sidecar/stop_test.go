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

// TestLateRequestOfAPlannedStopIsFinishedOrRefused guards against a request that is accepted late in the grace period and cut
// at its end: another instance forwards it while this one still finishes a request of its own client.
func TestLateRequestOfAPlannedStopIsFinishedOrRefused(t *testing.T) {
	for _, row := range []struct {
		name   string
		sendAt time.Duration    // after the stop begins
		run    result.RunStatus // "" without an error
	}{
		{"time enough", 2700 * time.Millisecond, ""},
		{"too late", 4 * time.Second, result.NotRun},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			store := newMemoryStore()
			configuration := testConfiguration(1)
			configuration.Routes["once"].TimeLimitMillis = 3000
			store.put(t, configuration)
			nodes := startAll(t, store, 2)
			handler := func(w http.ResponseWriter, r *http.Request) {
				work := 1800 * time.Millisecond
				if r.URL.Path == "/once/x" {
					work = 2900 * time.Millisecond
				}
				select {
				case <-r.Context().Done():
				case <-time.After(work):
				}
			}
			nodes[0].backend.setHandler(handler)
			nodes[1].backend.setHandler(handler)
			var running sync.WaitGroup
			running.Go(nodes[0].Stop)
			time.Sleep(2200 * time.Millisecond)
			running.Go(func() { sendOnce(t, nodes[0]) })
			time.Sleep(row.sendAt - 2200*time.Millisecond)
			r, err := http.NewRequest(http.MethodPost, "http://"+nodes[0].settings.Link.String()+"/once/late", nil)
			is.NoErr(err)
			r.Header.Set(link.HeaderBackend, nodes[0].backend.id)
			r.Header.Set(link.HeaderTimeout, "2000")
			r.Header.Set(link.HeaderExchange, "late")
			resp, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			_ = resp.Body.Close()
			is.Equal(result.RunStatus(resp.Header.Get(link.HeaderRun)), row.run)
			is.Equal(resp.StatusCode == http.StatusOK, row.run == "")
			running.Wait()
		})
	}
}
