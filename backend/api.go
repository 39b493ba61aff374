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

// Paths of the calls that a backend server makes to its instance; docs/BACKEND-SERVERS.md describes them.
const (
	PathAnnounce = "/v1/announce"
	PathRenew    = "/v1/renew"
	PathDrain    = "/v1/drain"
	PathLeave    = "/v1/leave"
)

// maxRequestBytes limits the size of a request body.
const maxRequestBytes = 16 << 10

// Registrar handles the registration calls of backend servers.
type Registrar interface {
	// Announce registers a backend server. Its errors carry AnnounceInvalid.
	Announce(a Announcement) (Lease, error)
	// Renew extends a lease. Its errors carry LeaseUnknown.
	Renew(lease string, state membership.EndpointState) (Lease, error)
	// Drain stops new requests from being sent to the backend server.
	Drain(lease string) error
	// Leave deregisters the backend server.
	Leave(lease string) error
}

// LeaseRequest is the request body of the renew, drain and leave calls. State is used by renew only.
type LeaseRequest struct {
	Lease string                   `json:"lease"`
	State membership.EndpointState `json:"state,omitempty"`
}

// NewAPI returns the HTTP handler for the slot address, at which backend servers register with the instance.
func NewAPI(a Registrar) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathAnnounce, handleJSON(func(in Announcement) (any, error) {
		return a.Announce(in)
	}))
	mux.HandleFunc("POST "+PathRenew, handleJSON(func(in LeaseRequest) (any, error) {
		return a.Renew(in.Lease, in.State)
	}))
	mux.HandleFunc("POST "+PathDrain, handleJSON(func(in LeaseRequest) (any, error) {
		return struct{}{}, a.Drain(in.Lease)
	}))
	mux.HandleFunc("POST "+PathLeave, handleJSON(func(in LeaseRequest) (any, error) {
		return struct{}{}, a.Leave(in.Lease)
	}))
	return mux
}

// handleJSON decodes the JSON request body strictly, calls f and writes its result or error as the response.
func handleJSON[In any](f func(In) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&in); err != nil {
			link.WriteError(w, result.Wrap(result.AnnounceInvalid, err, "body"))
			return
		}
		if _, err := d.Token(); !errors.Is(err, io.EOF) {
			link.WriteError(w, result.New(result.AnnounceInvalid,
				"body: has data after the JSON value or exceeds %d bytes", maxRequestBytes))
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
