package backend

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
)

// The paths of the calls of backend servers; docs/BACKEND-SERVERS.md describes them.
const (
	PathAnnounce = "/v1/announce"
	PathRenew    = "/v1/renew"
	PathDrain    = "/v1/drain"
	PathLeave    = "/v1/leave"
)

const maxCallBytes = 16 << 10

// Registrar takes the calls of backend servers.
type Registrar interface {
	// Announce adds a backend server; errors carry AnnounceInvalid.
	Announce(a Announcement) (Lease, error)
	// Renew prolongs a lease; errors carry LeaseUnknown.
	Renew(lease string, state membership.EndpointState) (Lease, error)
	// Drain takes the backend server out of new work.
	Drain(lease string) error
	// Leave removes the backend server.
	Leave(lease string) error
}

// LeaseRequest is the body of renewals, drains and leaves.
type LeaseRequest struct {
	Lease string                   `json:"lease"`
	State membership.EndpointState `json:"state,omitempty"`
}

// NewAPI returns the handler of the slot address.
func NewAPI(a Registrar) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathAnnounce, call(func(in Announcement) (any, error) { return a.Announce(in) }))
	mux.HandleFunc("POST "+PathRenew, call(func(in LeaseRequest) (any, error) { return a.Renew(in.Lease, in.State) }))
	mux.HandleFunc("POST "+PathDrain, call(func(in LeaseRequest) (any, error) { return struct{}{}, a.Drain(in.Lease) }))
	mux.HandleFunc("POST "+PathLeave, call(func(in LeaseRequest) (any, error) { return struct{}{}, a.Leave(in.Lease) }))
	return mux
}

// call decodes a body, runs f and answers with its outcome.
func call[In any](f func(In) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCallBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&in); err != nil {
			link.WriteError(w, result.Wrap(result.AnnounceInvalid, err, "body"))
			return
		}
		if _, err := d.Token(); !errors.Is(err, io.EOF) {
			link.WriteError(w, result.New(result.AnnounceInvalid, "body: there is more after the call, or over %d bytes", maxCallBytes))
			return
		}
		out, err := f(in)
		if err != nil {
			link.WriteError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	}
}
