package link

import (
	"context"
	"net"
)

// Network opens the sockets through which an instance reaches other instances. Production code uses SystemNetwork;
// tests that simulate network partitions use their own.
type Network interface {
	// DialContext opens a connection, like net.Dialer.DialContext.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	// ListenPacket opens a datagram socket.
	ListenPacket(network, address string) (net.PacketConn, error)
}

// SystemNetwork is the network of the operating system.
type SystemNetwork struct{}

// DialContext implements Network.
func (SystemNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, network, address)
}

// ListenPacket implements Network.
func (SystemNetwork) ListenPacket(network, address string) (net.PacketConn, error) {
	return net.ListenPacket(network, address)
}
