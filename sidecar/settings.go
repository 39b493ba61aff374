package sidecar

import (
	"net/netip"
	"time"
)

// defaultHeartbeatInterval is how often a backend server reports if the settings do not say so.
const defaultHeartbeatInterval = 1500 * time.Millisecond

// Settings are the settings of one instance.
type Settings struct {
	// Name is the instance's name, unique in the fleet; a restarted process keeps it.
	Name string
	// Domain is the failure domain, Region the region that it lies in.
	Domain, Region string
	// Service is the service of the backend server beside the instance.
	Service string
	// The addresses to listen on. Clients accepts requests from clients and from the backend server, Link accepts requests
	// that other instances forward, Ready accepts the platform's readiness checks, Reports accepts the reports of the
	// backend server, and Control accepts calls of other instances over TCP and membership messages over UDP on the same
	// port number.
	Clients, Link, Ready, Reports, Control netip.AddrPort
	// HeartbeatInterval is how often the backend server reports; default defaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	// Backend is the address at which the backend server accepts requests.
	Backend netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// Peers are control addresses of other instances, some of which may be stale; default none.
	Peers []netip.AddrPort
	// MemoryBytes is the memory limit of the process; 0 means no limit.
	MemoryBytes int64
	// Descriptors is the number of descriptors that the process may open; 0 means that only the system limits it.
	Descriptors int
	// Bounds are the bounds that the platform sets.
	Bounds Bounds
}

// Bounds are the bounds that the platform sets for the behavior of an instance.
type Bounds struct {
	// ConfigDeadline is how long an accepted configuration may take until it is in force on every instance.
	ConfigDeadline time.Duration
	// DrainTimeout is how long a backend server may still get requests after it reported that it is leaving.
	DrainTimeout time.Duration
	// GracePeriod is the time between the signal to stop and the forced kill.
	GracePeriod time.Duration
	// FailClosed makes an instance refuse keys while its configuration has not been confirmed within RevocationDeadline.
	FailClosed bool
	// RevocationDeadline is how long a revoked key may still be accepted.
	RevocationDeadline time.Duration
	// QuotaWindow, QuotaOverage and QuotaSlack bound what a client account may get in any window of that length: its rate
	// and burst, exceeded by at most the overage, which is a share, plus the slack, a number of requests.
	QuotaWindow              time.Duration
	QuotaOverage, QuotaSlack float64
	// RetryWindow, RetryRatio and RetrySlack are the retry budget of a service. They bound the retries that arrive
	// there in any window of that length to a share of its requests plus the slack, a number of requests.
	RetryWindow            time.Duration
	RetryRatio, RetrySlack float64
	// MinInUseShare is the share of a service's healthy backend servers that must stay in use.
	MinInUseShare float64
	// EvacuationDeadline is how long after the start of a failure domain's evacuation requests may still reach backend
	// servers there; 0 means that failure domains are not evacuated.
	EvacuationDeadline time.Duration
	// ColdOverage and ColdSlack bound what a cold backend server may get in any second: the number of requests that it
	// tolerates times the overage, plus the slack, a number of requests.
	ColdOverage, ColdSlack float64
}

// DefaultBounds returns the bounds for a platform that sets none.
func DefaultBounds() Bounds {
	return Bounds{
		ConfigDeadline:     2 * time.Second,
		DrainTimeout:       2 * time.Second,
		GracePeriod:        6 * time.Second,
		RevocationDeadline: 5 * time.Second,
		QuotaWindow:        5 * time.Second,
		QuotaOverage:       0.1,
		QuotaSlack:         20,
		RetryWindow:        10 * time.Second,
		RetryRatio:         0.2,
		RetrySlack:         64,
		MinInUseShare:      0.7,
		ColdOverage:        1.5,
		ColdSlack:          8,
	}
}
