// Package freeport finds loopback addresses for processes of tests, which have to know their addresses before they listen.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
)

// The ports lie below those that the system gives to connections, so that no connection takes one before its process listens.
const (
	firstPort = 15_000
	lastPort  = 31_000
)

// next is the next port to look at; it starts at random, since tests of several packages run at the same time.
var next = func() *atomic.Uint32 {
	n := &atomic.Uint32{}
	n.Store(rand.Uint32N(lastPort - firstPort))
	return n
}()

// Address returns an address on which nobody listens in TCP or UDP, and never the same one twice.
func Address(t testing.TB) netip.AddrPort {
	t.Helper()
	for range lastPort - firstPort {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+next.Add(1)%(lastPort-firstPort))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		p, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err == nil {
			_ = p.Close()
			return netip.MustParseAddrPort(address)
		}
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}
