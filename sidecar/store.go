package sidecar

import (
	"context"
	"net/netip"
	"time"

	"amaranthstile/entry"
	"amaranthstile/ticket"
)

// Store is what an instance needs of the platform's versioned store. All methods may be called at the same time. Errors
// carry the codes from 3001 to 3199.
type Store interface {
	// Configuration reads the operator's newest configuration; the error carries PlatformNotFound where there is none.
	Configuration(ctx context.Context) (StoredConfiguration, error)
	// AwaitConfiguration waits for one that was stored after a revision. When the wait ends without one, ok is false.
	AwaitConfiguration(ctx context.Context, after uint64, wait time.Duration) (s StoredConfiguration, ok bool, err error)
	// Contacts lists the instances that registered.
	Contacts(ctx context.Context) ([]Contact, error)
	// Register puts the contact of this instance in place of an earlier one of that name.
	Register(ctx context.Context, c Contact) error
}

// StoredConfiguration is a configuration as the store holds it.
type StoredConfiguration struct {
	// Specification is what the operator wrote.
	Specification []byte
	// Revision is the store's revision of it, by which to wait for the next.
	Revision uint64
}

// Contact is an instance that others ask when they join.
type Contact struct {
	Name    string
	Domain  string
	Control netip.AddrPort
}

// Configuration is the operator's whole configuration.
type Configuration struct {
	// Version orders configurations; the newest wins.
	Version  uint64
	Services map[string]Service
	Routes   map[string]*ticket.Route
	Accounts map[string]*ticket.Account
	// Limits bound what a caller may send; what a body may hold is part of each route.
	Limits entry.Limits
}

// Service is a set of backend servers that serve the same.
type Service struct {
	// HealthPath answers whether a backend server is well, by its own account.
	HealthPath string
	// MaxConnections is how many connections each backend server takes.
	MaxConnections int
}
