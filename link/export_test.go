package link

import (
	"net/http"
	"time"
)

// NewTransportWithNetwork is like NewTransport, but dials through n.
func NewTransportWithNetwork(n Network, idlePerHost int, idleTimeout time.Duration) *http.Transport {
	t := NewTransport(idlePerHost, idleTimeout)
	t.DialContext = dialTracked(n)
	return t
}
