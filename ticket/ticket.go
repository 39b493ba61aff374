package ticket

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"amaranthstile/internal/strict"
	"amaranthstile/result"
)

// MaxBytes is the size limit of an encoded ticket. It leaves room for the other fields of the head object.
const MaxBytes = 512 << 10

// Ticket is a change ticket. An object in it replaces the complete earlier object of that name; a null removes the
// object.
type Ticket struct {
	// Number is the number that the operators gave the ticket, from 1.
	Number uint64 `json:"number"`
	// Services are the services that the fleet serves, by name.
	Services map[string]*Service `json:"services,omitempty"`
	// Routes are the routes, by name.
	Routes map[string]*Route `json:"routes,omitempty"`
	// Accounts are the client accounts, by name.
	Accounts map[string]*Account `json:"accounts,omitempty"`
}

// Service is a set of interchangeable backend servers.
type Service struct {
	// Floor is the share of the service's announced slots that ejections must leave in use, from 0 to 1.
	// It has no default and must be given.
	Floor float64 `json:"floor" cbor:"1,keyasint"`
}

// Route maps requests to a service.
type Route struct {
	// Host is the host name of the requests, in lower case; "" matches every host.
	Host string `json:"host,omitempty" cbor:"1,keyasint,omitempty"`
	// Prefix is the path prefix; it starts with "/" and is matched by whole path segments.
	Prefix string `json:"prefix" cbor:"2,keyasint"`
	// Service is the name of the service.
	Service string `json:"service" cbor:"3,keyasint"`
	// Open allows requests without a key. Default false: the key of a client account is required.
	Open bool `json:"open,omitempty" cbor:"4,keyasint,omitempty"`
	// Repeatable lists the methods whose requests may be sent again; default GET and HEAD. An empty list means none.
	Repeatable []string `json:"repeatable,omitzero" cbor:"5,keyasint,omitzero"`
	// TimeLimitMillis bounds a request from its arrival, in milliseconds, 1 to 600,000; default 30,000.
	TimeLimitMillis int `json:"timeLimitMillis,omitempty" cbor:"6,keyasint,omitempty"`
	// MaxBodyBytes bounds the body of a request; default 16 MiB.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty" cbor:"7,keyasint,omitempty"`
	// Split divides the requests among services by weight, in place of Service; default none.
	Split []WeightedService `json:"split,omitempty" cbor:"8,keyasint,omitempty"`
	// MaxRuns is the number of endpoints at which one request may run, 1 to 16; default 4.
	MaxRuns int `json:"maxRuns,omitempty" cbor:"9,keyasint,omitempty"`
	// TargetMillis is the target latency of a response, in milliseconds; a later response is worth less. Default none.
	TargetMillis int `json:"targetMillis,omitempty" cbor:"10,keyasint,omitempty"`
	// Priority orders the requests that wait for the same backend server; 0 goes first. Default 0.
	Priority int `json:"priority,omitempty" cbor:"11,keyasint,omitempty"`
	// Below excludes the prefix itself: only paths that continue after it with a slash match. Default false.
	Below bool `json:"below,omitempty" cbor:"12,keyasint,omitempty"`
}

// services returns the names of the route's services, each once.
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

// WeightedService is one service of a traffic split.
type WeightedService struct {
	// Service is the name of the service.
	Service string `json:"service" cbor:"1,keyasint"`
	// Weight, from 0, divided by the sum of the weights of the split gives the share of the requests.
	Weight float64 `json:"weight" cbor:"2,keyasint"`
}

// Account is a client account.
type Account struct {
	// Keys are the hashes of the account's keys, SHA-256 in hexadecimal, as the operators' command "key new" prints
	// them.
	Keys []Hash `json:"keys,omitempty" cbor:"1,keyasint,omitempty"`
	// Rate is the number of requests per second over the whole fleet, above 0.
	Rate float64 `json:"rate" cbor:"2,keyasint"`
	// Burst is the number of requests that may come at once over the whole fleet, from 1.
	Burst int `json:"burst" cbor:"3,keyasint"`
	// Weight is the account's weight in fair queues, 1 to 100; default 1.
	Weight int `json:"weight,omitempty" cbor:"4,keyasint,omitempty"`
	// Priority replaces the route's priority for the account's requests; 0 goes first. Default: the route's.
	Priority *int `json:"priority,omitempty" cbor:"5,keyasint,omitempty"`
}

// Hash is the SHA-256 of a key or of encoded content. Only the client has the key itself.
type Hash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) Hash { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler. The text is hexadecimal.
func (h Hash) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, h[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(h)) {
		return result.New(result.TicketInvalid, "a hash must have %d hexadecimal digits, got %d", hex.EncodedLen(len(h)), len(text))
	}
	_, err := hex.Decode(h[:], text)
	if err != nil {
		return result.Wrap(result.TicketInvalid, err, "a hash must be hexadecimal")
	}
	return nil
}

// Decode reads a ticket from JSON. It refuses unknown fields, duplicate keys and trailing data with TicketUnreadable
// and the path of the field, and more than MaxBytes with TicketTooLarge.
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

// decodeError adds a result code to an error of the decoder: the code of the value's own type if it returned one, or
// else TicketUnreadable.
func decodeError(err error) error {
	code := result.TicketUnreadable
	if c := result.CodeOf(err); c != result.Internal {
		code = c
	}
	return result.Wrap(code, err, "%v", err)
}

// Encode returns the ticket in canonical form: equal content gives equal bytes.
func (t *Ticket) Encode() []byte {
	data, err := json.Marshal(t)
	if err != nil {
		panic(err) // all fields of a validated ticket can be expressed in JSON
	}
	return data
}

// Digest returns the hash of the ticket's content.
func (t *Ticket) Digest() Hash { return sha256.Sum256(t.Encode()) }
