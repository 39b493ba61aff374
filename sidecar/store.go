package sidecar

import (
	"context"
	"net/netip"
	"time"

	"amaranthstile/entry"
	"amaranthstile/evacuation"
	"amaranthstile/internal/position"
	"amaranthstile/ticket"
)

// Store is the part of the platform's versioned store that an instance uses. All methods are safe for concurrent use.
// Errors carry the codes from 3001 to 3199.
type Store interface {
	// Configuration reads the operator's newest configuration; the error carries PlatformNotFound if there is none. It
	// returns an error soon after the store stops sending, but may take long while the response keeps arriving.
	Configuration(ctx context.Context) (StoredConfiguration, error)
	// AwaitConfiguration waits for a configuration that is stored after a position. If the wait ends without one, ok is
	// false. The error carries PlatformHistoryGone if the store lacks the history since then, as it does if its generation
	// is another one.
	AwaitConfiguration(ctx context.Context, after Position, wait time.Duration) (s StoredConfiguration, ok bool, err error)
	// Contacts reads a page of the registered instances, in the order of their names, starting behind a name. Unless fresh
	// is set, it may miss changes of the last seconds.
	Contacts(ctx context.Context, after string, fresh bool) (ContactPage, error)
	// Register writes the contact of this instance and replaces an earlier one with the same name. The departures that the
	// store holds under that name are kept. With a revision, at which the store was last known to hold the contact, one
	// call suffices unless it has changed since.
	Register(ctx context.Context, c Contact, revision uint64) (Registration, error)
	// Evacuations reads which failure domains are evacuated.
	Evacuations(ctx context.Context) (StoredEvacuations, error)
	// AwaitEvacuations waits for changes of evacuations after a position. Without one by the end of the wait, it returns
	// none. The error carries PlatformHistoryGone as for AwaitConfiguration.
	AwaitEvacuations(ctx context.Context, after Position, wait time.Duration) (EvacuationChanges, error)
}

// Position is a point in the history of the store.
type Position = position.Position

// StoredConfiguration is a configuration as the store holds it.
type StoredConfiguration struct {
	// Specification is the encoded configuration, as the operator wrote it.
	Specification []byte
	// Position is where the store's history holds it; AwaitConfiguration waits for a later one.
	Position Position
}

// StoredEvacuations are the evacuated failure domains as the store holds them at a position.
type StoredEvacuations struct {
	Domains  []string
	Position Position
}

// EvacuationChanges are the changes of evacuations up to a position, the latest one last.
type EvacuationChanges struct {
	Changes  []evacuation.Change
	Position Position
}

// Contact is a registered instance that other instances can ask when they join the fleet.
type Contact struct {
	Name    string
	Domain  string
	Control netip.AddrPort
	// Departed are the latest processes of the backend server beside the instance that have left, the last one last.
	Departed Departures
}

// Registration is the contact of an instance as the store holds it.
type Registration struct {
	Contact
	// Position is where the store's history holds it.
	Position Position
	// Created is set if the store held no contact of this name before.
	Created bool
}

// ContactPage is a part of the list of registered instances.
type ContactPage struct {
	Contacts []Contact
	// Next is the name behind which the next page starts, "" on the last page.
	Next string
	// Generation is the generation of the store.
	Generation uint64
}

// Configuration is the operator's complete configuration.
type Configuration struct {
	// Version orders configurations; the highest one replaces all others.
	Version  uint64
	Services map[string]Service
	Routes   map[string]*ticket.Route
	Accounts map[string]*ticket.Account
	// Limits bound what a client may send; the limit on the size of a body is part of each route.
	Limits entry.Limits
}

// Service is a set of interchangeable backend servers.
type Service struct {
	// HealthPath is the path at which a backend server reports its own health.
	HealthPath string
	// MaxConnections is how many connections each backend server accepts.
	MaxConnections int
	// ColdStart is how long a backend server is cold after it starts.
	ColdStart time.Duration
	// ColdPerSecond is how many requests per second a cold backend server tolerates; 0 means no limit.
	ColdPerSecond float64
}
