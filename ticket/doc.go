// Package ticket defines the change tickets with which operators configure the fleet, and the configuration in force.
//
// A Ticket carries the complete new value of every object that it changes: services, routes and client accounts.
// A ConfigState is the configuration after a sequence of accepted tickets. It decides whether one more ticket may be
// accepted, and applies it; it is a state machine without I/O. A Log stores tickets in the platform's object store: the
// object "ticket/head" holds the last accepted ticket and its revision, and a ticket is accepted at the moment when one
// conditional write to this object takes effect. Before the head is replaced, the ticket that it holds is copied to
// "ticket/log/REVISION".
package ticket
