package ticket

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"amaranthstile/internal/strict"
	"amaranthstile/result"
)

// MaxBytes is the largest ticket, encoded; it leaves room for the head object's own fields.
const MaxBytes = 512 << 10

// Ticket is one change ticket. An object that is present replaces the whole earlier state of that name;
// one that is null is removed.
type Ticket struct {
	// Number is the operators' number of the ticket, from 1.
	Number uint64 `json:"number"`
	// Services are the services that the fleet serves, by name.
	Services map[string]*Service `json:"services,omitempty"`
	// Routes are the routes, by name.
	Routes map[string]*Route `json:"routes,omitempty"`
	// Accounts are the client accounts, by name.
	Accounts map[string]*Account `json:"accounts,omitempty"`
}

// Service is a set of backend servers that serve the same.
type Service struct {
	// Floor is the share of the service's announced slots that ejections must leave in use, from 0 to 1.
	// There is no default: it has to be stated.
	Floor float64 `json:"floor" cbor:"1,keyasint"`
}

// Route leads requests to a service.
type Route struct {
	// Host is the host name of the requests, in lower case; "" matches every host.
	Host string `json:"host,omitempty" cbor:"1,keyasint,omitempty"`
	// Prefix is the path prefix, from "/", matched by whole path segments.
	Prefix string `json:"prefix" cbor:"2,keyasint"`
	// Service is the name of the service.
	Service string `json:"service" cbor:"3,keyasint"`
	// Open lets requests run without a key. Default false: a client account's key is needed.
	Open bool `json:"open,omitempty" cbor:"4,keyasint,omitempty"`
	// Repeatable names the methods that may be sent again; default GET and HEAD, and an empty list for none.
	Repeatable []string `json:"repeatable,omitzero" cbor:"5,keyasint,omitzero"`
	// TimeLimitMillis bounds a request from its arrival, in milliseconds, 1 to 600,000; default 30,000.
	TimeLimitMillis int `json:"timeLimitMillis,omitempty" cbor:"6,keyasint,omitempty"`
	// MaxBodyBytes bounds a request's body; default 16 MiB.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty" cbor:"7,keyasint,omitempty"`
	// Split divides the requests among services by weight, in place of Service; default none.
	Split []WeightedService `json:"split,omitempty" cbor:"8,keyasint,omitempty"`
	// MaxRuns is at how many endpoints one request may run, 1 to 16; default 4.
	MaxRuns int `json:"maxRuns,omitempty" cbor:"9,keyasint,omitempty"`
	// TargetMillis is the time within which an answer is worth most, in milliseconds; default none.
	TargetMillis int `json:"targetMillis,omitempty" cbor:"10,keyasint,omitempty"`
	// Priority ranks requests that wait for the same backend server, 0 first; default 0.
	Priority int `json:"priority,omitempty" cbor:"11,keyasint,omitempty"`
	// Below leaves out the prefix itself: only paths that go on after it with a slash match. Default false.
	Below bool `json:"below,omitempty" cbor:"12,keyasint,omitempty"`
}

// services returns the services that the route leads to.
func (r *Route) services() []string {
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	var out []string
	for _, p := range r.Split {
		if !slices.Contains(out, p.Service) {
			out = append(out, p.Service)
		}
	}
	return out
}

// WeightedService is one service of a split.
type WeightedService struct {
	// Service is the name of the service.
	Service string `json:"service" cbor:"1,keyasint"`
	// Weight is the part's share of the sum of all weights, from 0.
	Weight float64 `json:"weight" cbor:"2,keyasint"`
}

// Account is a client account.
type Account struct {
	// Keys are the hashes of the account's keys, as "key new" prints them: SHA-256 in hexadecimal.
	Keys []Hash `json:"keys,omitempty" cbor:"1,keyasint,omitempty"`
	// Rate is the requests per second over the whole fleet, above 0.
	Rate float64 `json:"rate" cbor:"2,keyasint"`
	// Burst is the number of requests that may come at once over the whole fleet, from 1.
	Burst int `json:"burst" cbor:"3,keyasint"`
	// Weight is the account's weight in fair queues, 1 to 100; default 1.
	Weight int `json:"weight,omitempty" cbor:"4,keyasint,omitempty"`
	// Priority ranks the account's requests in place of the route's priority, 0 first; default the route's.
	Priority *int `json:"priority,omitempty" cbor:"5,keyasint,omitempty"`
}

// Hash is the SHA-256 of a key; the key itself is held by its caller alone.
type Hash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) Hash { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler, in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, h[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(h)) {
		return result.New(result.TicketInvalid, "a key hash has %d hexadecimal digits, not %d", hex.EncodedLen(len(h)), len(text))
	}
	_, err := hex.Decode(h[:], text)
	if err != nil {
		return result.Wrap(result.TicketInvalid, err, "a key hash is hexadecimal")
	}
	return nil
}

// Decode reads a ticket from JSON. Unknown fields, keys that stand twice and anything after the ticket are
// refused with TicketUnreadable and the field's path, more than MaxBytes with TicketTooLarge.
func Decode(data []byte) (*Ticket, error) {
	if len(data) > MaxBytes {
		return nil, result.New(result.TicketTooLarge, "ticket has %d bytes, at most %d are allowed", len(data), MaxBytes)
	}
	var t Ticket
	if err := strict.Decode(data, &t); err != nil {
		return nil, decodeError(err)
	}
	return &t, nil
}

// decodeError gives a decoder's error its code: what a value's own type says, or else TicketUnreadable.
func decodeError(err error) error {
	code := result.TicketUnreadable
	if c := result.CodeOf(err); c != result.Internal {
		code = c
	}
	return result.Wrap(code, err, "%v", err)
}

// Encode writes the ticket in its canonical form, the same bytes for the same content.
func (t *Ticket) Encode() []byte {
	data, err := json.Marshal(t)
	if err != nil {
		panic(err) // the types hold nothing that JSON can't express once validated
	}
	return data
}

// Digest identifies the ticket's content.
func (t *Ticket) Digest() Hash { return sha256.Sum256(t.Encode()) }
