package sidecar

import (
	"net/netip"
	"time"
)

// Settings are the settings of one instance.
type Settings struct {
	// Name is the instance's name, unique in the fleet; a restarted process keeps it.
	Name string
	// Domain is the failure domain, Region the region that it lies in.
	Domain, Region string
	// Service is the service of the backend server beside the instance.
	Service string
	// Clients takes requests that begin here, Link those that other instances forward, Ready the platform's questions
	// whether requests are taken, Reports the reports of the backend server, Control calls of other instances over TCP and
	// membership messages over UDP on the same number.
	Clients, Link, Ready, Reports, Control netip.AddrPort
	// Backend is where the backend server takes requests.
	Backend netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// Peers are control addresses of other instances that may be stale; default none.
	Peers []netip.AddrPort
	// MemoryBytes is what the process may use; 0 for no limit.
	MemoryBytes int64
	// Bounds are the figures that the platform's rules name.
	Bounds Bounds
}

// Bounds are the figures that the platform's rules name.
type Bounds struct {
	// ConfigDeadline is how long an accepted configuration may take until it is in force.
	ConfigDeadline time.Duration
	// DrainTimeout is how long a backend server that said it leaves may still get requests.
	DrainTimeout time.Duration
	// GracePeriod is the time between the signal to stop and the end by force.
	GracePeriod time.Duration
	// FailClosed says that an instance refuses keys once its configuration has not been confirmed for Revocation.
	FailClosed         bool
	RevocationDeadline time.Duration
	// QuotaWindow, QuotaOverage and QuotaSlack bound what a client account may get in any window: its rate and burst, more
	// by the overage, a share, and by the slack, in requests.
	QuotaWindow              time.Duration
	QuotaOverage, QuotaSlack float64
	// RetryWindow, RetryRatio and RetrySlack bound the repeats that arrive at a service in any window: a share of its
	// requests, and the slack beyond.
	RetryWindow            time.Duration
	RetryRatio, RetrySlack float64
	// MinInUseShare is the share of a service's healthy backend servers that must stay in use.
	MinInUseShare float64
}

// DefaultBounds returns the figures for a platform that names none.
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
	}
}
