package link

import (
	"context"
	"net"
)

// Network opens the sockets by which an instance reaches others. The system's own is used outside of tests of
// partitions.
type Network interface {
	// DialContext opens a connection; it is net.Dialer's method.
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
