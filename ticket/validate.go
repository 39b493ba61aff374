package ticket

import (
	"fmt"
	"math"
	"strings"
	"unicode/utf8"

	"amaranthstile/result"
)

const (
	maxNameBytes     = 128
	maxRate          = 1e9
	maxBurst         = 1 << 30
	maxWeight        = 100
	maxTimeLimit     = 600_000 // milliseconds
	maxKeysOfAccount = 64
	maxHostBytes     = 255
	maxMethods       = 16
	maxMethodBytes   = 32
	maxBody          = 1 << 40 // bytes
	maxRuns          = 16
	maxPartWeight    = 1e6
)

const (
	// MaxPrefixBytes bounds a route's path prefix.
	MaxPrefixBytes = 512
	// MaxPrefixSegments bounds the segments of a route's path prefix.
	MaxPrefixSegments = 16
)

// Validate checks the ticket by itself. ConfigState.Check also checks it against the configuration in force.
func (t *Ticket) Validate() error {
	if t.Number == 0 {
		return result.New(result.TicketInvalid, "number: ticket numbers start at 1")
	}
	if len(t.Services)+len(t.Routes)+len(t.Accounts) == 0 {
		return result.New(result.TicketInvalid, "the ticket changes nothing")
	}
	for _, name := range sortedKeys(t.Services) {
		if err := validateService(name, t.Services[name]); err != nil {
			return err
		}
	}
	for _, name := range sortedKeys(t.Routes) {
		if err := validateRoute(name, t.Routes[name]); err != nil {
			return err
		}
	}
	for _, name := range sortedKeys(t.Accounts) {
		if err := validateAccount(name, t.Accounts[name]); err != nil {
			return err
		}
	}
	if n := len(t.Encode()); n > MaxBytes {
		return result.New(result.TicketTooLarge, "ticket has %d bytes, at most %d are allowed", n, MaxBytes)
	}
	return nil
}

// nameBytes are the bytes that names and hosts may contain.
const nameBytes = "abcdefghijklmnopqrstuvwxyz0123456789-_."

func validateName(field, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return result.New(result.TicketInvalid, "%s: the name %q must have 1 to %d bytes", field, name, maxNameBytes)
	}
	if strings.Trim(name, nameBytes) != "" {
		return result.New(result.TicketInvalid, "%s: the name %q may contain only lower-case letters, digits, '-', '_' and '.'", field, name)
	}
	return nil
}

func validateService(name string, s *Service) error {
	if err := validateName("services", name); err != nil {
		return err
	}
	if s == nil {
		return nil
	}
	if math.IsNaN(s.Floor) || s.Floor < 0 || s.Floor > 1 {
		return result.New(result.TicketBadFloor, "services.%s.floor: %v must be between 0 and 1", name, s.Floor)
	}
	return nil
}

func validateRoute(name string, r *Route) error {
	if err := validateName("routes", name); err != nil {
		return err
	}
	if r == nil {
		return nil
	}
	if err := validatePrefix(name, r.Prefix); err != nil {
		return err
	}
	if len(r.Host) > maxHostBytes || strings.Trim(r.Host, nameBytes) != "" {
		return result.New(result.TicketInvalid, "routes.%s.host: %q is not a host name in lower case without a port", name, r.Host)
	}
	if err := validateServices(name, r); err != nil {
		return err
	}
	if r.MaxRuns < 0 || r.MaxRuns > maxRuns {
		return result.New(result.TicketInvalid, "routes.%s.maxRuns: %d must be between 1 and %d", name, r.MaxRuns, maxRuns)
	}
	if r.TimeLimitMillis < 0 || r.TimeLimitMillis > maxTimeLimit {
		return result.New(result.TicketInvalid, "routes.%s.timeLimitMillis: %d must be between 1 and %d", name, r.TimeLimitMillis, maxTimeLimit)
	}
	if r.MaxBodyBytes < 0 || r.MaxBodyBytes > maxBody {
		return result.New(result.TicketInvalid, "routes.%s.maxBodyBytes: %d must be between 1 and %d", name, r.MaxBodyBytes, int64(maxBody))
	}
	return validateMethods(name, r.Repeatable)
}

// validateServices checks the service of a route, or the services of its split.
func validateServices(name string, r *Route) error {
	if len(r.Split) == 0 {
		return validateName("routes."+name+".service", r.Service)
	}
	sum := 0.0
	for i, p := range r.Split {
		field := fmt.Sprintf("routes.%s.split[%d]", name, i)
		if err := validateName(field+".service", p.Service); err != nil {
			return err
		}
		if math.IsNaN(p.Weight) || p.Weight < 0 || p.Weight > maxPartWeight {
			return result.New(result.TicketInvalid, "%s.weight: %v must be between 0 and %g", field, p.Weight, float64(maxPartWeight))
		}
		sum += p.Weight
	}
	if sum == 0 || r.Service != "" {
		return result.New(result.TicketInvalid, "routes.%s: a split needs a weight above 0 and excludes the field service", name)
	}
	return nil
}

func validateMethods(name string, methods []string) error {
	if len(methods) > maxMethods {
		return result.New(result.TicketInvalid, "routes.%s.repeatable: %d methods, at most %d are allowed", name, len(methods), maxMethods)
	}
	for i, m := range methods {
		if m == "" || len(m) > maxMethodBytes || strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") != "" {
			return result.New(result.TicketInvalid, "routes.%s.repeatable[%d]: %q is not a method in upper case", name, i, m)
		}
	}
	return nil
}

func validatePrefix(name, prefix string) error {
	if len(prefix) > MaxPrefixBytes || strings.Count(prefix, "/") > MaxPrefixSegments {
		return result.New(result.TicketInvalid, "routes.%s.prefix: more than %d bytes or %d segments", name, MaxPrefixBytes, MaxPrefixSegments)
	}
	if !utf8.ValidString(prefix) || !strings.HasPrefix(prefix, "/") || strings.Contains(prefix, "//") || strings.ContainsAny(prefix, "?# ") {
		return result.New(result.TicketInvalid, "routes.%s.prefix: %q is not a path that starts with \"/\"", name, prefix)
	}
	if prefix != "/" && strings.HasSuffix(prefix, "/") {
		return result.New(result.TicketInvalid, "routes.%s.prefix: %q must not end with \"/\"", name, prefix)
	}
	return nil
}

func validateAccount(name string, a *Account) error {
	if err := validateName("accounts", name); err != nil {
		return err
	}
	if a == nil {
		return nil
	}
	if math.IsNaN(a.Rate) || a.Rate <= 0 || a.Rate > maxRate {
		return result.New(result.TicketBadRate, "accounts.%s.rate: %v must be above 0 and at most %g", name, a.Rate, maxRate)
	}
	if a.Burst < 1 || a.Burst > maxBurst {
		return result.New(result.TicketBadRate, "accounts.%s.burst: %d must be between 1 and %d", name, a.Burst, maxBurst)
	}
	if a.Weight < 0 || a.Weight > maxWeight {
		return result.New(result.TicketInvalid, "accounts.%s.weight: %d must be between 1 and %d", name, a.Weight, maxWeight)
	}
	if len(a.Keys) > maxKeysOfAccount {
		return result.New(result.TicketInvalid, "accounts.%s.keys: %d keys, at most %d are allowed", name, len(a.Keys), maxKeysOfAccount)
	}
	return nil
}
