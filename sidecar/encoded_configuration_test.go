package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"amaranthstile/event"
	"amaranthstile/gossip"
	"amaranthstile/internal/owner"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
	"amaranthstile/ticket"
)

// encode returns a specification with n routes.
func encode(t *testing.T, version uint64, n int) []byte {
	t.Helper()
	c := Configuration{Version: version, Routes: make(map[string]*ticket.Route, n)}
	for k := range n {
		c.Routes[fmt.Sprintf("r-%x", k*7919)] = &ticket.Route{Prefix: fmt.Sprintf("/%x", k*104729), Service: "s"}
	}
	out, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// TestInstanceGetsADifferenceOnlyFromWhatItHas guards against a difference from another text of the same version.
func TestInstanceGetsADifferenceOnlyFromWhatItHas(t *testing.T) {
	is := is.New(t)
	base := newEncodedConfiguration(2, encode(t, 2, 100), nil)
	next := newEncodedConfiguration(3, encode(t, 3, 101), base)
	other := newEncodedConfiguration(2, encode(t, 2, 99), nil)
	for _, have := range []*encodedConfiguration{base, other, newEncodedConfiguration(1, encode(t, 1, 1), nil), nil} {
		data, from, err := next.encodeFor(have.id())
		is.NoErr(err)
		is.Equal(from == base.id(), have == base)
		out, err := have.decodeFrom(data, from)
		is.NoErr(err)
		is.Equal(string(out), string(next.specification))
	}
	data, from, err := next.encodeFor(base.id())
	is.NoErr(err)
	_, err = other.decodeFrom(data, from)
	is.Equal(result.CodeOf(err), result.TicketUnreadable)
	is.True(len(data) < len(next.specification)/10)
}

// newManager returns a manager that holds a configuration.
func newManager(t *testing.T, specifications ...[]byte) *configurationManager {
	t.Helper()
	calls := link.NewControlClient(link.SystemNetwork{}, nil)
	t.Cleanup(calls.Close)
	self := membership.Record{ID: "self", Domain: "x"}
	members := gossip.New(owner.New(owner.NewSystem()), self, nil, calls, event.Discard())
	c := newConfigurationManager(Options{
		Decode: func(data []byte) (out *Configuration, err error) { return out, json.Unmarshal(data, &out) },
		Events: event.Discard(),
	}, DefaultBounds, members, calls, self, newGenerations(event.Discard()))
	for k, s := range specifications {
		if _, err := c.apply(receivedConfiguration{specification: s, position: Position{Revision: uint64(10 * (k + 1))}}); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

// TestInstanceThatDecodesNoDifferenceGetsTheSpecification guards against a fleet of two versions that passes nothing on.
func TestInstanceThatDecodesNoDifferenceGetsTheSpecification(t *testing.T) {
	is := is.New(t)
	c := newManager(t, encode(t, 1, 10), encode(t, 2, 11))
	out, err := c.handleRequest(context.Background(), configurationRequest{HaveVersion: 1})
	is.NoErr(err)
	r := out.(configurationResponse)
	is.Equal(r.Version, uint64(2))
	is.Equal(string(r.Specification), string(encode(t, 2, 11)))
	is.True(r.Encoded == nil)
}

// serveConfiguration lets other instances fetch the configuration of a manager, and returns the address.
func serveConfiguration(t *testing.T, c *configurationManager) netip.AddrPort {
	t.Helper()
	server := link.NewControlServer()
	link.Register(server, methodConfiguration, c.handleRequest)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// TestConfigurationIsPassedOnWithItsPosition guards against a watch that returns versions which another instance has sent.
func TestConfigurationIsPassedOnWithItsPosition(t *testing.T) {
	is := is.New(t)
	sender := newManager(t, encode(t, 1, 10), encode(t, 2, 11))
	have := newManager(t, encode(t, 1, 10)).encoded().id()
	out, err := sender.handleRequest(context.Background(), configurationRequest{
		HaveVersion: have.Version, HaveHash: have.Hash, AcceptsEncoded: true,
	})
	is.NoErr(err)
	is.Equal(out.(configurationResponse).Base, have)
	address := serveConfiguration(t, sender)
	for _, c := range []*configurationManager{newManager(t, encode(t, 1, 10)), newManager(t)} {
		is.True(c.fetchFrom(context.Background(), address))
		active := c.current.Load()
		is.Equal(string(active.encoded.specification), string(encode(t, 2, 11)))
		is.Equal(active.position, Position{Revision: 20}) // for the instances that fetch it from here
		is.Equal(c.position(), Position{Revision: 20})    // for the watch of this one
	}
}
