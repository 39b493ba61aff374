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
	onceKey       = "key-of-an-account"
	onceInstances = 5
)

// onceFleet is a fleet with one service whose POST requests must not run twice.
type onceFleet struct{ *fleet.Fleet }

func newOnceFleet(t *testing.T) onceFleet {
	is := is.New(t)
	f, err := fleet.Start(fleet.Options{Domains: []string{"a", "b", "c", "d"}, Region: "r", Instances: onceInstances})
	is.NoErr(err)
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for n := range onceInstances {
		o := backendstandin.Options{ID: "s" + strconv.Itoa(n), Service: "s", Slots: 3, ServiceTime: 20 * time.Millisecond}
		_, err := f.AddBackend(n, o)
		is.NoErr(err)
	}
	is.NoErr(f.WaitReady(ctx, onceInstances))
	first := &ticket.Ticket{
		Number:   1,
		Services: map[string]*ticket.Service{"s": {}},
		Routes:   map[string]*ticket.Route{"s": {Prefix: "/s", Service: "s"}},
		Accounts: map[string]*ticket.Account{"a": {Keys: []ticket.Hash{ticket.HashKey(onceKey)}, Rate: 1000, Burst: 1000}},
	}
	record, err := f.SubmitTicket(ctx, 0, first)
	is.NoErr(err)
	is.NoErr(f.WaitRevision(ctx, record.Revision))
	return onceFleet{f}
}

// post posts a body with an Idempotency-Key to an instance.
func (f onceFleet) post(i int, key, body string) (code result.Code, run result.RunStatus, answer string) {
	req, _ := http.NewRequest("POST", "http://"+f.Instances[i].Addresses().Clients.String()+"/s", strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+onceKey)
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

func (f onceFleet) prefix(t *testing.T, i int) string {
	resp, err := http.Get("http://" + f.Instances[i].Addresses().Clients.String() + idempotency.KeyPrefixPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var a entry.PrefixResponse
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		t.Fatal(err)
	}
	return a.Prefix
}

// runs returns how often the backend servers ran a request with the body.
func (f onceFleet) runs(body string) (n int) {
	for _, b := range f.Backends {
		n += b.Server.Counts().Runs[body]
	}
	return n
}

func (f onceFleet) setFaults(faults backendstandin.Faults) {
	for _, b := range f.Backends {
		b.Server.SetFaults(faults)
	}
}

// homes returns the indexes of the instances that are homes of a key.
func (f onceFleet) homes(t *testing.T, key string) (out []int) {
	k, err := idempotency.ParseKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for _, h := range k.Replicas {
		for i, x := range f.Instances {
			if string(x.State().ID) == h.ID {
				out = append(out, i)
			}
		}
	}
	return out
}

func TestAttemptsWithOneKeyRunOnce(t *testing.T) {
	is := is.New(t)
	f := newOnceFleet(t)
	f.Platform.SetFaults(standin.Faults{Unavailable: true}) // none of this needs the platform
	prefix := f.prefix(t, 0)
	key := prefix + "swap-1"
	homes := f.homes(t, key)
	is.Equal(len(homes), idempotency.MaxReplicas)

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
	answers := make([]string, 15)
	var all sync.WaitGroup
	for n := range answers {
		all.Go(func() { _, _, answers[n] = f.post(n%onceInstances, prefix+"swap-2", "two") })
	}
	all.Wait()
	is.Equal(f.runs("two"), 1)
	for _, a := range answers {
		is.Equal(a, answers[0])
	}

	// A request whose answer is lost is never run again.
	f.setFaults(backendstandin.Faults{Hang: true})
	_, run, _ = f.post(0, prefix+"swap-3", "three")
	is.Equal(run, result.MayHaveRun)
	f.setFaults(backendstandin.Faults{})
	code, run, _ = f.post(1, prefix+"swap-3", "three")
	is.Equal(code, result.IdempotencyUnknown)
	is.Equal(run, result.MayHaveRun)
	is.Equal(f.runs("three"), 1)

	// After the loss of one home, the answer is still known.
	other := 0
	for other == homes[0] || other == homes[1] {
		other++
	}
	f.Instances[homes[0]].Kill()
	code, _, again = f.post(other, key, "one")
	is.Equal(code, result.OK)
	is.Equal(again, first)

	// After the loss of two homes, the last one still returns the recorded answer; a new key with these homes is refused.
	f.Instances[homes[1]].Kill()
	code, _, again = f.post(other, key, "one")
	is.Equal(code, result.OK)
	is.Equal(again, first)
	code, run, _ = f.post(other, prefix+"swap-4", "four")
	is.Equal(code, result.IdempotencyUnknown)
	is.Equal(run, result.MayHaveRun)
	is.Equal(f.runs("four"), 0)
	is.Equal(f.runs("one"), 1)
}

// TestPlannedStopsPreserveRecordedAnswers stops all homes of a key gracefully, one after another.
func TestPlannedStopsPreserveRecordedAnswers(t *testing.T) {
	is := is.New(t)
	f := newOnceFleet(t)
	prefix := f.prefix(t, 0)
	key := prefix + "fee-1"
	_, _, first := f.post(0, key, "fee")
	is.Equal(f.runs("fee"), 1)
	stopped := make(map[int]bool)
	for _, home := range f.homes(t, key) {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		is.NoErr(f.Instances[home].Stop(ctx))
		cancel()
		stopped[home] = true
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

// TestKeysWithoutPrefixRunOnce sends requests with keys that callers chose themselves: through all instances
// concurrently, again with other content, and while the platform is unavailable.
func TestKeysWithoutPrefixRunOnce(t *testing.T) {
	is := is.New(t)
	f := newOnceFleet(t)
	answers := make(chan string, onceInstances)
	for i := range onceInstances {
		go func() {
			_, _, answer := f.post(i, "my-own-key", "swap 1")
			answers <- answer
		}()
	}
	first := <-answers
	for range onceInstances - 1 {
		is.Equal(<-answers, first) // all attempts get the same answer
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
	_, _, answer := f.post(2, "another-key", "swap 3")
	is.True(strings.Contains(answer, "swap 3"))
	is.Equal(f.runs("swap 3"), 1)
}
