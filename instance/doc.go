// Package instance runs one instance of the fleet: it connects the decision logic of the other packages to sockets,
// timers and the platform.
//
// Each piece of control state (the configuration, the backend servers in the slots, the membership, the authority
// lease and the rate shares) has one owner, an actor that serializes its changes. The request path reads immutable
// snapshots that the owners publish and never waits for an owner.
package instance
