package sidecar

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"amaranthstile/event"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
)

const (
	// maxPeersAsked is how many instances are asked in one round while the store is unavailable.
	maxPeersAsked = 3
	// fetchTimeout bounds one call to another instance for its configuration.
	fetchTimeout = 500 * time.Millisecond
	// fetchHedgeDelay is how long another instance may take to return a configuration before the store is read as well. A
	// change passes through a few instances on its way, and each may wait that long within the time to put it in force.
	fetchHedgeDelay = 150 * time.Millisecond
)

// methodConfiguration asks another instance for its configuration.
const methodConfiguration link.Method = "configuration.get"

// configurationRequest names the configuration that the requesting instance has.
type configurationRequest struct {
	HaveVersion uint64 `json:"have"`
	HaveHash    uint64 `json:"have_hash,omitempty"`
	// AcceptsEncoded is set by instances that decode configurationResponse.Encoded; others get the Specification.
	AcceptsEncoded bool `json:"accepts_encoded,omitempty"`
}

// configurationResponse holds the responding instance's configuration, in one of two forms, if it is newer than the
// requested version.
type configurationResponse struct {
	Version       uint64 `json:"version"`
	Specification []byte `json:"specification,omitempty"`
	// Encoded is the specification compressed, as its difference from Base unless that is the zero value.
	Encoded []byte          `json:"encoded,omitempty"`
	Base    configurationID `json:"base,omitzero"`
	// Position is a point in the store's history from which only later configurations follow.
	Position Position `json:"position,omitzero"`
	// AgeMillis is how long ago the store confirmed the configuration, directly or through another instance.
	AgeMillis int64 `json:"age"`
	// ServingMillis is for how long the responding instance has served requests.
	ServingMillis int64 `json:"serving,omitempty"`
}

// age returns how long ago the store confirmed the configuration, 0 if the other instance states a negative age.
func (r configurationResponse) age() time.Duration {
	return time.Duration(min(max(r.AgeMillis, 0), math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
}

// received returns the configuration in the response, which another instance encoded for one that has the given
// configuration. It is the zero value if the response holds none.
func (r *configurationResponse) received(have *encodedConfiguration) (receivedConfiguration, error) {
	out := receivedConfiguration{specification: r.Specification, bytes: len(r.Specification), position: r.Position}
	if r.Encoded == nil {
		return out, nil
	}
	var err error
	out.specification, err = have.decodeFrom(r.Encoded, r.Base)
	out.bytes = len(r.Encoded)
	return out, err
}

// followPeers fetches the newer configurations that other instances announce, until ctx ends.
func (c *configurationManager) followPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-c.newerRevisions:
			if c.version() < b.Revision {
				c.fetchAnnounced(ctx, b.Address)
			}
		}
	}
}

// fetchAnnounced fetches the configuration of another instance, and reads the store as well if that fails or takes long: a
// kept connection to the instance can have stopped responding without an error. A configuration from an instance ends the
// read. While a read goes on alone, which can take long, the instances that announce a newer version are asked.
func (c *configurationManager) fetchAnnounced(ctx context.Context, addr netip.AddrPort) {
	fetch := func(addr netip.AddrPort) <-chan bool {
		return inBackground(func() bool { return c.fetchFrom(ctx, addr) })
	}
	fetched := fetch(addr)
	hedge := time.NewTimer(fetchHedgeDelay)
	defer hedge.Stop()
	select {
	case ok := <-fetched:
		if ok {
			return
		}
		fetched = nil
	case <-hedge.C:
	}
	reading, cancel := context.WithCancel(ctx)
	defer cancel()
	read := inBackground(func() bool { return c.readStore(reading) })
	for fetched != nil || read != nil {
		var announced <-chan membership.NewerRevision
		if fetched == nil {
			announced = c.newerRevisions
		}
		select {
		case ok := <-fetched:
			if ok {
				return
			}
			fetched = nil
		case ok := <-read:
			if ok {
				return
			}
			read = nil
		case b := <-announced:
			if c.version() < b.Revision {
				fetched = fetch(b.Address)
			}
		}
	}
}

// inBackground calls f in a goroutine and returns a channel that gets its result.
func inBackground(f func() bool) <-chan bool {
	out := make(chan bool, 1)
	go func() { out <- f() }()
	return out
}

// fetchFrom fetches the configuration of another instance and applies it if it is newer; it reports whether that
// succeeded.
func (c *configurationManager) fetchFrom(ctx context.Context, addr netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	requestedAt := time.Now()
	have := c.encoded()
	var response configurationResponse
	err := c.calls.Call(ctx, addr.String(), methodConfiguration, configurationRequest{
		HaveVersion: have.id().Version, HaveHash: have.id().Hash, AcceptsEncoded: true,
	}, &response)
	var received receivedConfiguration
	if err == nil {
		received, err = response.received(have)
	}
	if err != nil {
		c.event.Log(event.StateRefused, event.F("from", addr.String()), event.F("code", int(result.CodeOf(err))),
			event.F("took_ms", time.Since(requestedAt).Milliseconds()))
		return false
	}
	if received.specification != nil {
		received.source, received.took = addr.String(), time.Since(requestedAt)
		if _, err := c.apply(received); err != nil {
			return false
		}
		c.advancePosition(response.Position)
	}
	c.recordServing(response.ServingMillis)
	if c.version() <= response.Version {
		c.confirm(requestedAt.Add(-response.age()))
	}
	return true
}

// encoded returns the encoded configuration in force, or nil before the first one.
func (c *configurationManager) encoded() *encodedConfiguration {
	if active := c.current.Load(); active != nil {
		return active.encoded
	}
	return nil
}

// askPeers fetches the configuration from other instances in random order, up to maxPeersAsked of them, until one
// succeeds and a configuration is in force.
func (c *configurationManager) askPeers(ctx context.Context) {
	records := c.members.All()
	rand.Shuffle(len(records), func(a, b int) { records[a], records[b] = records[b], records[a] })
	asked := 0
	for _, r := range records {
		if r.ID == c.self.ID {
			continue
		}
		if asked++; asked > maxPeersAsked {
			return
		}
		if c.fetchFrom(ctx, r.Control) && c.version() > 0 {
			return
		}
	}
}

// handleRequest responds to another instance's request for this one's configuration.
func (c *configurationManager) handleRequest(_ context.Context, request configurationRequest) (any, error) {
	active := c.current.Load()
	if active == nil {
		return nil, result.New(result.NotReady, "this instance has no configuration yet")
	}
	response := configurationResponse{
		Version: active.Version, AgeMillis: c.confirmationAge(time.Now()).Milliseconds(), Position: active.position,
	}
	if since := c.servingSince.Load(); since != nil {
		response.ServingMillis = time.Since(*since).Milliseconds()
	}
	if request.HaveVersion >= active.Version {
		return response, nil
	}
	if !request.AcceptsEncoded {
		response.Specification = active.encoded.specification
		return response, nil
	}
	var err error
	have := configurationID{Version: request.HaveVersion, Hash: request.HaveHash}
	response.Encoded, response.Base, err = active.encoded.encodeFor(have)
	return response, err
}
