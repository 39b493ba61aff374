package fleet

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPartitionDelaysConnectionInOneDirection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	partitions := newPartitions()
	partitions.register(1, listener.Addr().String())
	c, err := partitionedNetwork{partitions: partitions, from: 0}.DialContext(context.Background(), "tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	accepted, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = accepted.Close() }()

	partitions.Set(0, 1, true)
	is.NoErr(c.SetWriteDeadline(time.Now().Add(10 * time.Millisecond)))
	_, err = c.Write([]byte("lost"))
	is.True(err != nil) // the write of instance 0 exceeds its deadline
	_, err = accepted.Write([]byte("b"))
	is.NoErr(err)
	got := make([]byte, 1)
	_, err = c.Read(got)
	is.NoErr(err) // the opposite direction is open
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, err = partitionedNetwork{partitions: partitions, from: 0}.DialContext(ctx, "tcp", listener.Addr().String())
	is.True(err != nil) // new connections are blocked, too

	partitions.Set(0, 1, false)
	is.NoErr(c.SetWriteDeadline(time.Time{}))
	_, err = c.Write([]byte("a"))
	is.NoErr(err)
	_, err = accepted.Read(got)
	is.NoErr(err)
	is.Equal(string(got), "a")
}

func TestPartitionDropsDatagramsInOneDirection(t *testing.T) {
	is := is.New(t)
	partitions := newPartitions()
	sockets := make([]net.PacketConn, 2)
	for n := range sockets {
		socket, err := partitionedNetwork{partitions: partitions, from: n}.ListenPacket("udp", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = socket.Close() }()
		partitions.register(n, socket.LocalAddr().String())
		sockets[n] = socket
	}
	partitions.Set(0, 1, true)
	send := func(from, to int, text string) {
		_, err := sockets[from].WriteTo([]byte(text), sockets[to].LocalAddr())
		is.NoErr(err)
	}
	buffer := make([]byte, 16)
	send(1, 0, "open")
	n, _, err := sockets[0].ReadFrom(buffer)
	is.NoErr(err)
	is.Equal(string(buffer[:n]), "open")
	send(0, 1, "lost")
	partitions.Set(0, 1, false)
	send(0, 1, "healed")
	n, _, err = sockets[1].ReadFrom(buffer)
	is.NoErr(err)
	is.Equal(string(buffer[:n]), "healed")
}
