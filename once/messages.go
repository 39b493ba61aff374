package once

import (
	"net/http"

	"amaranthstile/link"
)

// The calls between instances.
const (
	MethodGeneration link.Method = "once.generation"
	MethodClaim      link.Method = "once.claim"
	MethodSettle     link.Method = "once.settle"
	MethodPart       link.Method = "once.part"
	MethodCommit     link.Method = "once.commit"
)

// KeyPrefixPath is where callers ask any instance for a prefix of their keys.
const KeyPrefixPath = "/.well-known/amaranth/idempotency-prefix"

// GenerationRequest asks a home for its generation.
type GenerationRequest struct {
	Replica string `json:"home"`
}

// GenerationResponse is a home's generation.
type GenerationResponse struct {
	Generation uint64 `json:"generation"`
}

// ClaimRequest asks a home for a key.
type ClaimRequest struct {
	Replica string `json:"home"`
	Account string `json:"account"`
	Key     string `json:"key"`
	Digest  string `json:"digest"`
	// RoundID names one round of one try; no two rounds have the same name.
	RoundID string `json:"try"`
	// TimeoutMillis is how long the try may take, in milliseconds.
	TimeoutMillis int64 `json:"limitMillis"`
}

// KeyState is what a home says of a key.
type KeyState string

// The states.
const (
	// Granted means that the key is the try's.
	Granted KeyState = "granted"
	// Running means that another try has the key and may still be at work.
	Running KeyState = "running"
	// Overdue means that another try has the key and its time is over.
	Overdue KeyState = "overdue"
	// Unknown means that another try may have run and its answer is lost.
	Unknown KeyState = "unknown"
	// Done means that another try ran.
	Done KeyState = "done"
	// Mismatch means that the key was claimed for another content.
	Mismatch KeyState = "mismatch"
	// MismatchDone means that the key was claimed for another content, which ran.
	MismatchDone KeyState = "mismatch-done"
	// CannotGrant means that this home can't speak for the key: it is not the home that the key names, or forgot its
	// generation, or is full.
	CannotGrant KeyState = "stale"
	// NotHosted means that the home is not at this instance.
	NotHosted KeyState = "absent"
)

// ClaimResponse is a home's answer to a claim.
type ClaimResponse struct {
	State KeyState `json:"state"`
	// Record is the recorded answer, nil if it was not kept.
	Record *Record `json:"record,omitempty"`
}

// Record is the recorded answer of a backend server.
type Record struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// size is roughly how many bytes a record takes.
func (r *Record) size() int {
	n := len(r.Body)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// Outcome is how a try that had the key ended.
type Outcome string

// The outcomes.
const (
	// Released means that the try was not run and never will be.
	Released Outcome = "released"
	// MayHaveRun means that the try may have run and has no answer.
	MayHaveRun Outcome = "lost"
	// Ran means that the try has the backend server's answer.
	Ran Outcome = "ran"
)

// SettleRequest tells a home how a try ended.
type SettleRequest struct {
	Replica string  `json:"home"`
	Account string  `json:"account"`
	Key     string  `json:"key"`
	Digest  string  `json:"digest"`
	RoundID string  `json:"try"`
	Outcome Outcome `json:"outcome"`
	Record  *Record `json:"record,omitempty"`
}

// SettleResponse is the answer to a settlement.
type SettleResponse struct {
	// NotHosted says that the home is not at this instance.
	NotHosted bool `json:"absent,omitempty"`
}
