package idempotency

import (
	"net/http"

	"amaranthstile/link"
)

// The methods of calls between instances.
const (
	MethodGeneration link.Method = "once.generation"
	MethodClaim      link.Method = "once.claim"
	MethodSettle     link.Method = "once.settle"
	MethodPart       link.Method = "once.part"
	MethodCommit     link.Method = "once.commit"
)

// KeyPrefixPath is the URL path at which clients can ask any instance for a prefix for their keys.
const KeyPrefixPath = "/.well-known/amaranth/idempotency-prefix"

// GenerationRequest asks a replica for its current generation.
type GenerationRequest struct {
	Replica string `json:"home"`
}

// GenerationResponse holds a replica's current generation.
type GenerationResponse struct {
	Generation uint64 `json:"generation"`
}

// ClaimRequest asks a replica to grant a key.
type ClaimRequest struct {
	Replica string `json:"home"`
	Account string `json:"account"`
	Key     string `json:"key"`
	Digest  string `json:"digest"`
	// RoundID identifies one round of one attempt; no two rounds have the same ID.
	RoundID string `json:"try"`
	// TimeoutMillis is how long the attempt may take, in milliseconds.
	TimeoutMillis int64 `json:"limitMillis"`
}

// KeyState is the state of a key at a replica, as the replica reports it to a claim.
type KeyState string

// The states of a key.
const (
	// Granted means that the replica granted the key to this attempt.
	Granted KeyState = "granted"
	// Running means that another attempt has the key and may still be in flight.
	Running KeyState = "running"
	// Overdue means that another attempt has the key, and its timeout has passed without a settlement.
	Overdue KeyState = "overdue"
	// Unknown means that another attempt may have run and its response is lost.
	Unknown KeyState = "unknown"
	// Done means that another attempt ran.
	Done KeyState = "done"
	// Mismatch means that the key was claimed for a request with another digest.
	Mismatch KeyState = "mismatch"
	// MismatchDone means that the key was claimed for a request with another digest, and that request ran.
	MismatchDone KeyState = "mismatch-done"
	// CannotGrant means that this replica can't grant the key: the key does not name the replica, or the replica
	// forgot the key's generation, or it is full.
	CannotGrant KeyState = "stale"
	// NotHosted means that this instance does not host the replica.
	NotHosted KeyState = "absent"
)

// ClaimResponse is a replica's response to a claim.
type ClaimResponse struct {
	State KeyState `json:"state"`
	// Record is the recorded response, nil if none was kept.
	Record *Record `json:"record,omitempty"`
}

// Record is the recorded response of a backend server.
type Record struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// size returns the approximate size of a record in bytes.
func (r *Record) size() int {
	n := len(r.Body)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// Outcome is how an attempt that had the key ended.
type Outcome string

// The outcomes of an attempt.
const (
	// Released means that the attempt did not run and never will.
	Released Outcome = "released"
	// MayHaveRun means that the attempt may have run and has no response.
	MayHaveRun Outcome = "lost"
	// Ran means that the attempt has the backend server's response.
	Ran Outcome = "ran"
)

// SettleRequest reports the outcome of an attempt to a replica.
type SettleRequest struct {
	Replica string  `json:"home"`
	Account string  `json:"account"`
	Key     string  `json:"key"`
	Digest  string  `json:"digest"`
	RoundID string  `json:"try"`
	Outcome Outcome `json:"outcome"`
	Record  *Record `json:"record,omitempty"`
}

// SettleResponse is the response to a settlement.
type SettleResponse struct {
	// NotHosted reports that this instance does not host the replica.
	NotHosted bool `json:"absent,omitempty"`
}
