// Package sidecar is one process of the fleet beside exactly one backend server, on a platform that keeps the
// configuration and that every instance reaches by itself.
//
// An instance is entry and exit at once. Callers and the backend server send their requests to the entry side; the exit side
// is the only way to the backend server, so that draining, a reused address, slots, the bound on repeats and gray failure are
// decided there, whatever an entry side believes. Configurations come from the store, by a few watchers in each
// failure domain, and go from instance to instance; the newest version wins for good. Nothing is kept on the machine: after
// a restart the store and the other instances tell everything.
package sidecar
