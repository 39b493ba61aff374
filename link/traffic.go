package link

import (
	"net"
	"sync/atomic"
)

// Traffic counts the messages and bytes sent.
type Traffic struct {
	bytes, messages atomic.Uint64
}

// AddMessage counts one message of n bytes.
func (t *Traffic) AddMessage(n int) {
	t.bytes.Add(uint64(n))
	t.messages.Add(1)
}

// TrafficStats is a snapshot of Traffic.
type TrafficStats struct {
	Bytes    uint64 `json:"bytes"`
	Messages uint64 `json:"messages"`
}

// Stats returns a snapshot of the counters.
func (t *Traffic) Stats() TrafficStats {
	return TrafficStats{Bytes: t.bytes.Load(), Messages: t.messages.Load()}
}

// countingConn is a connection that counts its writes in traffic.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Write implements io.Writer.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.AddMessage(n)
	return n, err
}
