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
	"amaranthstile/link"
	"amaranthstile/once"
	"amaranthstile/result"
	"amaranthstile/store/standin"
	"amaranthstile/ticket"
)

const (
	onceKey       = "key-of-an-account"
	onceInstances = 5
)

// onceFleet is a fleet with one service whose POSTs must not repeat.
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

// try posts a body with an Idempotency-Key to an instance.
func (f onceFleet) try(i int, key, body string) (code result.Code, run result.RunStatus, answer string) {
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
	resp, err := http.Get("http://" + f.Instances[i].Addresses().Clients.String() + once.KeyPrefixPath)
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

// runs counts how often a body ran.
func (f onceFleet) runs(body string) (n int) {
	for _, b := range f.Backends {
		n += b.Server.Counts().Runs[body]
	}
	return n
}

func (f onceFleet) fault(faults backendstandin.Faults) {
	for _, b := range f.Backends {
		b.Server.SetFaults(faults)
	}
}

// homes returns the indexes of the instances that are homes of a key.
func (f onceFleet) homes(t *testing.T, key string) (out []int) {
	k, err := once.ParseKey(key)
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

func TestKeyedTriesRunOnce(t *testing.T) {
	is := is.New(t)
	f := newOnceFleet(t)
	f.Platform.SetFaults(standin.Faults{Unavailable: true}) // none of this needs the platform
	prefix := f.prefix(t, 0)
	key := prefix + "swap-1"
	homes := f.homes(t, key)
	is.Equal(len(homes), once.MaxReplicas)

	code, _, first := f.try(0, key, "one")
	is.Equal(code, result.OK)
	code, _, again := f.try(1, key, "one")
	is.Equal(code, result.OK)
	is.Equal(again, first)
	code, run, _ := f.try(2, key, "other")
	is.Equal(code, result.IdempotencyMismatch)
	is.Equal(run, result.NotRun)
	is.Equal(f.runs("one"), 1)
	is.Equal(f.runs("other"), 0)

	// Many at once, through all instances.
	answers := make([]string, 15)
	var all sync.WaitGroup
	for n := range answers {
		all.Go(func() { _, _, answers[n] = f.try(n%onceInstances, prefix+"swap-2", "two") })
	}
	all.Wait()
	is.Equal(f.runs("two"), 1)
	for _, a := range answers {
		is.Equal(a, answers[0])
	}

	// A run whose answer is lost is never repeated.
	f.fault(backendstandin.Faults{Hang: true})
	_, run, _ = f.try(0, prefix+"swap-3", "three")
	is.Equal(run, result.MayHaveRun)
	f.fault(backendstandin.Faults{})
	code, run, _ = f.try(1, prefix+"swap-3", "three")
	is.Equal(code, result.IdempotencyUnknown)
	is.Equal(run, result.MayHaveRun)
	is.Equal(f.runs("three"), 1)

	// One home gone: the answer is still known, and fresh keys still run.
	at := 0
	for at == homes[0] || at == homes[1] {
		at++
	}
	f.Instances[homes[0]].Kill()
	code, _, again = f.try(at, key, "one")
	is.Equal(code, result.OK)
	is.Equal(again, first)

	// Two homes gone: what the last one recorded is still told; a fresh key with these homes is refused.
	f.Instances[homes[1]].Kill()
	code, _, again = f.try(at, key, "one")
	is.Equal(code, result.OK)
	is.Equal(again, first)
	code, run, _ = f.try(at, prefix+"swap-4", "four")
	is.Equal(code, result.IdempotencyUnknown)
	is.Equal(run, result.MayHaveRun)
	is.Equal(f.runs("four"), 0)
	is.Equal(f.runs("one"), 1)
}

// TestPlannedStopsKeepRecords stops all homes of a key, one after the other.
func TestPlannedStopsKeepRecords(t *testing.T) {
	is := is.New(t)
	f := newOnceFleet(t)
	prefix := f.prefix(t, 0)
	key := prefix + "fee-1"
	_, _, first := f.try(0, key, "fee")
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
		code, _, again := f.try(i, key, "fee")
		is.Equal(code, result.OK)
		is.Equal(again, first)
		code, _, _ = f.try(i, prefix+"fee-2", "fee two") // a fresh key of the old prefix
		is.Equal(code, result.OK)
	}
	is.Equal(f.runs("fee"), 1)
	is.Equal(f.runs("fee two"), 1)
}

// TestPlainKeysRunOnce tries keys that callers made up, at all instances at once, again after the answer, with other
// content, and while the platform is away.
func TestPlainKeysRunOnce(t *testing.T) {
	is := is.New(t)
	f := newOnceFleet(t)
	answers := make(chan string, onceInstances)
	for i := range onceInstances {
		go func() {
			_, _, answer := f.try(i, "my-own-key", "swap 1")
			answers <- answer
		}()
	}
	first := <-answers
	for range onceInstances - 1 {
		is.Equal(<-answers, first) // one answer for all tries
	}
	is.True(strings.Contains(first, "swap 1"))
	is.Equal(f.runs("swap 1"), 1)
	code, run, _ := f.try(0, "my-own-key", "swap 2")
	is.Equal(code, result.IdempotencyMismatch)
	is.Equal(run, result.NotRun)
	is.Equal(f.runs("swap 2"), 0)
	f.Platform.SetFaults(standin.Faults{Unavailable: true})
	code, run, _ = f.try(1, "another-key", "swap 3")
	is.Equal(code, result.IdempotencyUnknown)
	is.Equal(run, result.MayHaveRun)
	is.Equal(f.runs("swap 3"), 0)
	f.Platform.SetFaults(standin.Faults{})
	_, _, answer := f.try(2, "another-key", "swap 3")
	is.True(strings.Contains(answer, "swap 3"))
	is.Equal(f.runs("swap 3"), 1)
}
