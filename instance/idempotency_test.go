package instance_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	backendstandin "amaranthstile/backend/standin"
	"amaranthstile/entry"
	"amaranthstile/fleet"
	"amaranthstile/idempotency"
	"amaranthstile/link"
	"amaranthstile/result"
	"amaranthstile/store/standin"
	"amaranthstile/ticket"
)

const (
	accountKey = "key-of-an-account"
	fleetSize  = 5
)

// idempotencyFleet is a fleet with one service whose POST requests must not run twice.
type idempotencyFleet struct{ *fleet.Fleet }

func newIdempotencyFleet(t *testing.T) idempotencyFleet {
	is := is.New(t)
	f, err := fleet.Start(fleet.Options{Domains: []string{"a", "b", "c", "d"}, Region: "r", Instances: fleetSize})
	is.NoErr(err)
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for n := range fleetSize {
		o := backendstandin.Options{ID: "s" + strconv.Itoa(n), Service: "s", Slots: 3, ServiceTime: 20 * time.Millisecond}
		_, err := f.AddBackend(n, o)
		is.NoErr(err)
	}
	is.NoErr(f.WaitReady(ctx, fleetSize))
	first := &ticket.Ticket{
		Number:   1,
		Services: map[string]*ticket.Service{"s": {}},
		Routes:   map[string]*ticket.Route{"s": {Prefix: "/s", Service: "s"}},
		Accounts: map[string]*ticket.Account{"a": {Keys: []ticket.Hash{ticket.HashKey(accountKey)}, Rate: 1000, Burst: 1000}},
	}
	record, err := f.SubmitTicket(ctx, 0, first)
	is.NoErr(err)
	is.NoErr(f.WaitRevision(ctx, record.Revision))
	return idempotencyFleet{f}
}

// post posts a body with an Idempotency-Key to an instance.
func (f idempotencyFleet) post(i int, key, body string) (code result.Code, run result.RunStatus, response string) {
	req, _ := http.NewRequest("POST", "http://"+f.Instances[i].Addresses().Clients.String()+"/s", strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+accountKey)
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set(link.HeaderTimeout, "3000")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return result.Internal, "", err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	n, _ := strconv.Atoi(resp.Header.Get(link.HeaderCode))
	return result.Code(n), result.RunStatus(resp.Header.Get(link.HeaderRun)), string(data)
}

func (f idempotencyFleet) prefix(t *testing.T, i int) string {
	resp, err := http.Get("http://" + f.Instances[i].Addresses().Clients.String() + idempotency.KeyPrefixPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var response entry.PrefixResponse
	if err := json.NewDecoder(resp.Body).Decode(&response); err != nil {
		t.Fatal(err)
	}
	return response.Prefix
}

// runs returns how often the backend servers ran a request with the body.
func (f idempotencyFleet) runs(body string) (n int) {
	for _, b := range f.Backends {
		n += b.Server.Counts().Runs[body]
	}
	return n
}

func (f idempotencyFleet) setFaults(faults backendstandin.Faults) {
	for _, b := range f.Backends {
		b.Server.SetFaults(faults)
	}
}

// replicas returns the indexes of the instances that hold the record of a key.
func (f idempotencyFleet) replicas(t *testing.T, key string) (out []int) {
	k, err := idempotency.ParseKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range k.Replicas {
		for i, x := range f.Instances {
			if string(x.State().ID) == r.ID {
				out = append(out, i)
			}
		}
	}
	return out
}

func TestAttemptsWithOneKeyRunOnce(t *testing.T) {
	is := is.New(t)
	f := newIdempotencyFleet(t)
	f.Platform.SetFaults(standin.Faults{Unavailable: true}) // none of this needs the platform
	prefix := f.prefix(t, 0)
	key := prefix + "swap-1"
	replicas := f.replicas(t, key)
	is.Equal(len(replicas), idempotency.MaxReplicas)

	code, _, first := f.post(0, key, "one")
	is.Equal(code, result.OK)
	code, _, again := f.post(1, key, "one")
	is.Equal(code, result.OK)
	is.Equal(again, first)
	code, run, _ := f.post(2, key, "other")
	is.Equal(code, result.IdempotencyMismatch)
	is.Equal(run, result.NotRun)
	is.Equal(f.runs("one"), 1)
	is.Equal(f.runs("other"), 0)

	// Concurrent attempts through all instances.
	responses := make([]string, 15)
	var all sync.WaitGroup
	for n := range responses {
		all.Go(func() { _, _, responses[n] = f.post(n%fleetSize, prefix+"swap-2", "two") })
	}
	all.Wait()
	is.Equal(f.runs("two"), 1)
	for _, a := range responses {
		is.Equal(a, responses[0])
	}

	// A request whose response is lost is never run again.
	f.setFaults(backendstandin.Faults{Hang: true})
	_, run, _ = f.post(0, prefix+"swap-3", "three")
	is.Equal(run, result.MayHaveRun)
	f.setFaults(backendstandin.Faults{})
	code, run, _ = f.post(1, prefix+"swap-3", "three")
	is.Equal(code, result.IdempotencyUnknown)
	is.Equal(run, result.MayHaveRun)
	is.Equal(f.runs("three"), 1)

	// After the loss of one replica, the response is still known.
	other := 0
	for other == replicas[0] || other == replicas[1] {
		other++
	}
	f.Instances[replicas[0]].Kill()
	code, _, again = f.post(other, key, "one")
	is.Equal(code, result.OK)
	is.Equal(again, first)

	// After the loss of two replicas, the last one still returns the recorded response; a new key with these replicas is
	// refused.
	f.Instances[replicas[1]].Kill()
	code, _, again = f.post(other, key, "one")
	is.Equal(code, result.OK)
	is.Equal(again, first)
	code, run, _ = f.post(other, prefix+"swap-4", "four")
	is.Equal(code, result.IdempotencyUnknown)
	is.Equal(run, result.MayHaveRun)
	is.Equal(f.runs("four"), 0)
	is.Equal(f.runs("one"), 1)
}

// TestPlannedStopsPreserveRecordedResponses stops all replicas of a key gracefully, one after another.
func TestPlannedStopsPreserveRecordedResponses(t *testing.T) {
	is := is.New(t)
	f := newIdempotencyFleet(t)
	prefix := f.prefix(t, 0)
	key := prefix + "fee-1"
	_, _, first := f.post(0, key, "fee")
	is.Equal(f.runs("fee"), 1)
	stopped := make(map[int]bool)
	for _, replica := range f.replicas(t, key) {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		is.NoErr(f.Instances[replica].Stop(ctx))
		cancel()
		stopped[replica] = true
	}
	for i := range f.Instances {
		if stopped[i] {
			continue
		}
		code, _, again := f.post(i, key, "fee")
		is.Equal(code, result.OK)
		is.Equal(again, first)
		code, _, _ = f.post(i, prefix+"fee-2", "fee two") // a new key with the old prefix
		is.Equal(code, result.OK)
	}
	is.Equal(f.runs("fee"), 1)
	is.Equal(f.runs("fee two"), 1)
}

// TestKeysWithoutPrefixRunOnce sends requests with keys that the client chose itself: through all instances
// concurrently, again with other content, and while the platform is unavailable.
func TestKeysWithoutPrefixRunOnce(t *testing.T) {
	is := is.New(t)
	f := newIdempotencyFleet(t)
	responses := make(chan string, fleetSize)
	for i := range fleetSize {
		go func() {
			_, _, response := f.post(i, "my-own-key", "swap 1")
			responses <- response
		}()
	}
	first := <-responses
	for range fleetSize - 1 {
		is.Equal(<-responses, first) // all attempts get the same response
	}
	is.True(strings.Contains(first, "swap 1"))
	is.Equal(f.runs("swap 1"), 1)
	code, run, _ := f.post(0, "my-own-key", "swap 2")
	is.Equal(code, result.IdempotencyMismatch)
	is.Equal(run, result.NotRun)
	is.Equal(f.runs("swap 2"), 0)
	f.Platform.SetFaults(standin.Faults{Unavailable: true})
	code, run, _ = f.post(1, "another-key", "swap 3")
	is.Equal(code, result.IdempotencyUnknown)
	is.Equal(run, result.MayHaveRun)
	is.Equal(f.runs("swap 3"), 0)
	f.Platform.SetFaults(standin.Faults{})
	_, _, response := f.post(2, "another-key", "swap 3")
	is.True(strings.Contains(response, "swap 3"))
	is.Equal(f.runs("swap 3"), 1)
}
