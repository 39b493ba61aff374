package sidecar_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"amaranthstile/result"
	"amaranthstile/sidecar"
	"amaranthstile/ticket"
)

// linkChunk is how many bytes a narrow link carries at a time.
const linkChunk = 4 << 10

// narrowLink is the link of an instance to the network, as far as it receives.
type narrowLink struct {
	*rate.Limiter
	fromInstances atomic.Int64 // bytes received from other instances
}

func newNarrowLink(bytesPerSecond int) *narrowLink {
	return &narrowLink{Limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), linkChunk)}
}

// carry waits until the link has carried n bytes.
func (l *narrowLink) carry(ctx context.Context, n int) error {
	for ; n > 0; n -= linkChunk {
		if err := l.WaitN(ctx, min(n, linkChunk)); err != nil {
			return result.Wrap(result.PlatformUnavailable, err, "the transfer was given up")
		}
	}
	return nil
}

// narrowConn receives over a narrow link.
type narrowConn struct {
	net.Conn
	link *narrowLink
}

// Read implements net.Conn.
func (c narrowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), linkChunk)])
	if n > 0 {
		c.link.fromInstances.Add(int64(n))
		_ = c.link.carry(context.Background(), n)
	}
	return n, err
}

// narrowStore is the store behind the narrow link of one instance.
type narrowStore struct {
	*memoryStore
	link *narrowLink
}

// Configuration implements sidecar.Store.
func (s narrowStore) Configuration(ctx context.Context) (sidecar.StoredConfiguration, error) {
	c, err := s.memoryStore.Configuration(ctx)
	if err == nil {
		err = s.link.carry(ctx, len(c.Specification))
	}
	return c, err
}

// AwaitConfiguration implements sidecar.Store.
func (s narrowStore) AwaitConfiguration(ctx context.Context, after sidecar.Position, wait time.Duration) (sidecar.StoredConfiguration, bool, error) {
	c, ok, err := s.memoryStore.AwaitConfiguration(ctx, after, wait)
	if ok {
		err = s.link.carry(ctx, len(c.Specification))
	}
	return c, ok && err == nil, err
}

// manyRoutes returns a configuration with n routes more than testConfiguration.
func manyRoutes(version uint64, n int) *sidecar.Configuration {
	c := testConfiguration(version)
	for k := range n {
		c.Routes[fmt.Sprintf("r-%x", k*7919)] = &ticket.Route{
			Prefix: fmt.Sprintf("/%x", k*104729), Service: serviceName, Open: true, Repeatable: []string{"GET"}, MaxRuns: 2, TimeLimitMillis: 2000,
		}
	}
	return c
}

// grownRoutes is how many routes the configuration of startNarrowFleet has from its second version on.
const grownRoutes = 1400

// grownConfiguration returns a configuration with grownRoutes and one more, whose path it returns too.
func grownConfiguration(version uint64) (c *sidecar.Configuration, added string) {
	c = manyRoutes(version, grownRoutes)
	added = fmt.Sprintf("/added%d", version)
	c.Routes["added"] = &ticket.Route{
		Prefix: added, Service: serviceName, Open: true, Repeatable: []string{"GET"}, MaxRuns: 2, TimeLimitMillis: 2000,
	}
	return c, added
}

// startNarrowFleet starts a number of instances whose links carry a grown configuration in 1 s, with a small one.
func startNarrowFleet(t *testing.T, instances int) (*memoryStore, []*node) {
	t.Helper()
	grown, _ := grownConfiguration(1)
	data, err := json.Marshal(grown)
	if err != nil {
		t.Fatal(err)
	}
	store := newMemoryStore()
	store.put(t, testConfiguration(1))
	bounds := sidecar.DefaultBounds()
	bounds.ConfigDeadline = 4 * time.Second
	nodes := make([]*node, instances)
	for k := range nodes {
		link := newNarrowLink(len(data))
		nodes[k] = startWith(t, narrowStore{store, link}, k, "domain"+strconv.Itoa(k%2), bounds)
		nodes[k].network.link.Store(link)
	}
	for _, n := range nodes {
		eventually(t, 10*time.Second, "the instance is ready", n.Ready)
	}
	return store, nodes
}

// putGrown stores a grown configuration and waits until all instances serve the route that it adds.
func putGrown(t *testing.T, store *memoryStore, nodes []*node, version uint64) {
	t.Helper()
	next, added := grownConfiguration(version)
	end := time.Now().Add(nodes[0].settings.Bounds.ConfigDeadline)
	store.put(t, next)
	for _, n := range nodes {
		eventually(t, time.Until(end), "the added route is served", func() bool {
			return n.do(t, "GET", added, "") == http.StatusOK
		})
	}
}

// TestConfigurationIsInForceInTimeOverLinksThatItFillsForLong guards against instances that give up a transfer which only takes long.
func TestConfigurationIsInForceInTimeOverLinksThatItFillsForLong(t *testing.T) {
	store, nodes := startNarrowFleet(t, 12)
	for version := uint64(2); version <= 4; version++ {
		putGrown(t, store, nodes, version)
	}
}

// TestChangeOfAGrownConfigurationIsPassedOnAtLowCost guards against links that are full of what has not changed.
func TestChangeOfAGrownConfigurationIsPassedOnAtLowCost(t *testing.T) {
	is := is.New(t)
	const controlBytesPerSecond = 2 << 10 // the design target of an instance
	store, nodes := startNarrowFleet(t, 12)
	putGrown(t, store, nodes, 2)
	received := func() (n int64) {
		for _, x := range nodes {
			n += x.network.link.Load().fromInstances.Load()
		}
		return n
	}
	before := received()
	putGrown(t, store, nodes, 3)
	deadline := nodes[0].settings.Bounds.ConfigDeadline
	is.True(received()-before <= int64(len(nodes))*int64(controlBytesPerSecond*deadline.Seconds()))
}

// TestReadOfTheStoreThatTakesLongIsNotGivenUp lets instances read a grown configuration while their watches hang.
func TestReadOfTheStoreThatTakesLongIsNotGivenUp(t *testing.T) {
	store, nodes := startNarrowFleet(t, 2)
	store.setFaults(true, false)
	putGrown(t, store, nodes, 2)
}
