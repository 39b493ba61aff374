// Package sidecar implements one instance of the fleet: a process beside exactly one backend server, on a platform that
// keeps the configuration in a store that every instance reaches directly.
//
// Each instance is both an entry side and an exit side. Clients and the backend server send their requests to the entry
// side. The exit side is the only path to the backend server. Draining, reused addresses, slots, the retry budget and
// gray failures are therefore decided there, whatever an entry side has cached. A few watchers in each failure domain
// receive new configurations from the store, and the instances pass them on to each other; a higher version always
// replaces a lower one. Nothing is stored on the machine: after a restart, an instance gets its state from the store
// and the other instances.
package sidecar
