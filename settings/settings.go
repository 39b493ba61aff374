// Package settings reads the settings of an instance from a JSON file and validates them completely when the
// instance starts.
//
// Every error carries a result code from 1001 to 1199. The message starts with the path of the field that it
// concerns, if there is one.
package settings

import (
	"errors"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"unicode"

	"amaranthstile/internal/strict"
	"amaranthstile/result"
	"amaranthstile/ticket"
)

// Settings are the settings of one instance.
type Settings struct {
	// Name is the name of the instance in logs and tables. It does not have to be unique. The default is Domain.
	Name string `json:"name"`
	// Domain is the failure domain, for example a rack or a sector. Required.
	Domain string `json:"domain"`
	// Region is the region that contains the failure domain. Required.
	Region string `json:"region"`
	// Listen holds the addresses on which the instance listens.
	Listen ListenAddresses `json:"listen"`
	// Platform is the URL of the object API of the platform, for example "http://127.0.0.1:7900". Required.
	Platform string `json:"platform"`
	// Peers are the control addresses of other instances to contact while the platform is unavailable. The default
	// is none.
	Peers []Address `json:"peers,omitempty"`
	// OperatorKeys are the hexadecimal SHA-256 hashes of the keys that grant access to the administration address.
	// At least one is required.
	OperatorKeys []ticket.Hash `json:"operatorKeys"`
	// LogLevel is "debug", "info", "warn" or "error". The default is "info".
	LogLevel string `json:"logLevel,omitempty"`
	// DrainMillis bounds the duration of a planned shutdown, in milliseconds, from 0 to 600,000. The default is
	// 30,000, which also applies to 0.
	DrainMillis int `json:"drainMillis,omitempty"`
	// MemoryMB is the memory of the process in MB, from 0 to 1,048,576. A third of it is for what clients send and what
	// waits to be sent to them. The default, which also applies to 0, is 512.
	MemoryMB int64 `json:"memoryMB,omitempty"`
	// TLS names the key files for the connections between instances. Without it these connections are plain TCP,
	// which is allowed on loopback addresses only.
	TLS *TLS `json:"tls,omitempty"`
}

// ListenAddresses holds the addresses on which an instance listens.
type ListenAddresses struct {
	// Clients accepts requests of clients.
	Clients Address `json:"callers"`
	// Admin accepts calls of operators.
	Admin Address `json:"admin"`
	// Backends accepts registrations of backend servers.
	Backends Address `json:"slot"`
	// Link accepts requests that other instances forward.
	Link Address `json:"link"`
	// Control accepts calls of other instances over TCP, and membership messages over UDP on the same port.
	Control Address `json:"control"`
}

// TLS names the files for mutual TLS between instances, in PEM. All four files are read again when they change.
type TLS struct {
	// Certificate is the certificate of this instance.
	Certificate string `json:"certificate"`
	// Key is the private key of the certificate.
	Key string `json:"key"`
	// Authorities holds the certificates of the authorities that sign the certificates of the instances.
	Authorities string `json:"authorities"`
	// Secrets holds the secrets that authenticate membership messages, one per line, each of at least 16 bytes
	// without spaces. The first one signs; all of them are accepted. To replace a secret, append the new one on
	// every instance, then move it to the front everywhere, then remove the old one.
	Secrets string `json:"secrets"`
}

// Address is an IP address with a port. Port 0 lets the operating system choose a free port.
type Address struct{ netip.AddrPort }

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *Address) UnmarshalText(text []byte) error {
	p, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return result.New(result.SettingsBadAddress, "%q is not an IP address with a port", text)
	}
	a.AddrPort = p
	return nil
}

const (
	defaultDrainMillis = 30_000
	maxDrainMillis     = 600_000
	maxMemoryMB        = 1 << 20
	maxNameBytes       = 128
)

// Load reads and validates a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Wrap(result.SettingsUnreadable, err, "settings file: %v", err)
	}
	return Parse(data)
}

// Parse reads and validates settings in JSON.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	if err := strict.Decode(data, s); err != nil {
		return nil, decodeError(err)
	}
	s.setDefaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return s, nil
}

// decodeError converts an error of the decoder, whose message already names the path of the field, into an error
// with a result code.
func decodeError(err error) error {
	var e *strict.Error
	if !errors.As(err, &e) {
		return result.Wrap(result.SettingsUnreadable, err, "settings")
	}
	code := result.SettingsUnreadable
	switch {
	case result.Is(err, result.SettingsBadAddress):
		code = result.SettingsBadAddress
	case e.Kind == strict.UnknownField:
		code = result.SettingsUnknownField
	case e.Kind == strict.Duplicate:
		code = result.SettingsTwice
	case e.Kind == strict.Mismatch:
		code = result.SettingsOutOfRange
	}
	return result.Wrap(code, err, "%v", e)
}

func (s *Settings) setDefaults() {
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	if s.DrainMillis == 0 {
		s.DrainMillis = defaultDrainMillis
	}
	if s.Name == "" {
		s.Name = s.Domain
	}
	s.Platform = strings.TrimSuffix(s.Platform, "/")
}

// Validate checks that required fields are present and that all values are valid.
func (s *Settings) Validate() error {
	if err := validateNames(s); err != nil {
		return err
	}
	if err := s.Listen.validate(); err != nil {
		return err
	}
	if err := validatePlatform(s.Platform); err != nil {
		return err
	}
	if len(s.OperatorKeys) == 0 {
		return result.New(result.SettingsMissing, "operatorKeys: at least one is required")
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		return result.New(result.SettingsOutOfRange, "logLevel: %q is not one of debug, info, warn, error", s.LogLevel)
	}
	if s.DrainMillis < 0 || s.DrainMillis > maxDrainMillis {
		return result.New(result.SettingsOutOfRange, "drainMillis: %d is outside 0 to %d", s.DrainMillis, maxDrainMillis)
	}
	if s.MemoryMB < 0 || s.MemoryMB > maxMemoryMB {
		return result.New(result.SettingsOutOfRange, "memoryMB: %d is outside 0 to %d", s.MemoryMB, maxMemoryMB)
	}
	return s.validateTLS()
}

func validateNames(s *Settings) error {
	for _, n := range []struct{ field, value string }{{"domain", s.Domain}, {"region", s.Region}, {"name", s.Name}} {
		if n.value == "" {
			return result.New(result.SettingsMissing, "%s: is required", n.field)
		}
		if len(n.value) > maxNameBytes || strings.ContainsFunc(n.value, func(c rune) bool { return !unicode.IsPrint(c) }) {
			return result.New(result.SettingsOutOfRange, "%s: must be 1 to %d bytes of printable text", n.field, maxNameBytes)
		}
	}
	return nil
}

func (l ListenAddresses) validate() error {
	fieldByAddress := make(map[netip.AddrPort]string)
	for _, a := range []struct {
		field string
		addr  Address
	}{
		{"callers", l.Clients}, {"admin", l.Admin}, {"slot", l.Backends}, {"link", l.Link}, {"control", l.Control},
	} {
		if !a.addr.IsValid() {
			return result.New(result.SettingsMissing, "listen.%s: is required", a.field)
		}
		if a.addr.Addr().IsUnspecified() && (a.field == "link" || a.field == "control") {
			return result.New(result.SettingsBadAddress, "listen.%s: %s is not an address at which other instances can reach this one", a.field, a.addr)
		}
		if other, ok := fieldByAddress[a.addr.AddrPort]; ok && a.addr.Port() != 0 {
			return result.New(result.SettingsTwice, "listen.%s: listen.%s has the same address", a.field, other)
		}
		fieldByAddress[a.addr.AddrPort] = a.field
	}
	return nil
}

func validatePlatform(s string) error {
	if s == "" {
		return result.New(result.SettingsMissing, "platform: is required")
	}
	u, err := url.Parse(s)
	if err != nil {
		return result.Wrap(result.SettingsOutOfRange, err, "platform: is not a URL")
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return result.New(result.SettingsOutOfRange, "platform: %q is neither an http nor an https URL", s)
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return result.New(result.SettingsBadAddress, "platform: %q is not an IP address with a port", u.Host)
	}
	if u.User != nil || strings.Trim(u.Path, "/") != "" || u.RawQuery != "" || u.Fragment != "" {
		return result.New(result.SettingsOutOfRange, "platform: the URL must consist of a scheme, an address and a port only")
	}
	return nil
}

func (s *Settings) validateTLS() error {
	if s.TLS == nil {
		if !s.Listen.Link.Addr().IsLoopback() || !s.Listen.Control.Addr().IsLoopback() {
			return result.New(result.SettingsMissing, "tls: is required unless listen.link and listen.control are loopback addresses")
		}
		return nil
	}
	for _, f := range []struct{ field, value string }{
		{"certificate", s.TLS.Certificate}, {"key", s.TLS.Key}, {"authorities", s.TLS.Authorities}, {"secrets", s.TLS.Secrets},
	} {
		if f.value == "" {
			return result.New(result.SettingsMissing, "tls.%s: is required", f.field)
		}
	}
	return nil
}
