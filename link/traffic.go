package link

import (
	"net"
	"sync/atomic"
)

// Traffic counts what was sent, in bytes and in messages.
type Traffic struct {
	bytes, messages atomic.Uint64
}

// AddMessage counts one message.
func (t *Traffic) AddMessage(n int) {
	t.bytes.Add(uint64(n))
	t.messages.Add(1)
}

// TrafficStats is a reading of Traffic.
type TrafficStats struct {
	Bytes    uint64 `json:"bytes"`
	Messages uint64 `json:"messages"`
}

// Stats returns the counts so far.
func (t *Traffic) Stats() TrafficStats {
	return TrafficStats{Bytes: t.bytes.Load(), Messages: t.messages.Load()}
}

// counted is a connection whose writes are counted.
type counted struct {
	net.Conn
	traffic *Traffic
}

// Write implements io.Writer.
func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.AddMessage(n)
	return n, err
}
