// Package ticket holds the change tickets by which operators drive the fleet, and the state that is in force.
//
// A Ticket carries the whole new state of every object that it touches: services, routes and client accounts.
// A ConfigState is the state after a row of accepted tickets; it decides whether one more may be accepted and
// applies it. It is a plain state machine without I/O. A Log records tickets in the platform: the object
// "ticket/head" holds the last accepted ticket and its revision, and one conditional write to it is the moment
// of acceptance. Before head moves on, the ticket it holds is copied to "ticket/log/REVISION".
package ticket
