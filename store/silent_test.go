package store_test

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/internal/silentconn"
	objects "amaranthstile/store"
	"amaranthstile/store/standin"
)

// newSilencedHTTP returns a client with the default times, the memory behind it, and the switch that makes its connections fall silent.
func newSilencedHTTP(t *testing.T) (*objects.HTTP, *objects.Memory, *silentconn.Switch) {
	t.Helper()
	s := &silentconn.Switch{}
	memory := objects.NewMemory()
	server := httptest.NewUnstartedServer(standin.New(memory))
	server.Listener = s.Listener(server.Listener)
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		_ = server.Listener.Close()
	})
	return objects.NewHTTP(objects.HTTPOptions{Base: server.URL}), memory, s
}

// changeInForce is the time in which an accepted change has to be in force everywhere.
const changeInForce = 9 * time.Second

// TestChangeIsSeenInTimeAfterConnectionsFellSilent lets all connections fall silent during a watch, and changes the object.
func TestChangeIsSeenInTimeAfterConnectionsFellSilent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	client, memory, s := newSilencedHTTP(t)
	ctx := context.Background()
	v, err := client.Put(ctx, "a", 0, []byte("before"))
	is.NoErr(err)
	var calls sync.WaitGroup
	for range 4 { // at the same time, so that several connections are kept
		calls.Go(func() { _, _ = client.Get(ctx, "a") })
	}
	calls.Wait()
	time.AfterFunc(100*time.Millisecond, func() {
		s.Silence()
		_, _ = memory.Put(ctx, "a", v, []byte("after"))
	})
	start := time.Now()
	for seen := v; seen == v && time.Since(start) < changeInForce; {
		if o, err := client.Watch(ctx, "a", v); err == nil {
			seen = o.Version
			continue
		}
		if o, err := client.Get(ctx, "a"); err == nil { // as after any failed watch
			seen = o.Version
		}
	}
	is.True(time.Since(start) < changeInForce)
}
