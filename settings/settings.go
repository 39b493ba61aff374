// Package settings reads the settings of an instance: JSON, checked whole at start.
//
// Every error carries a code from 1001 to 1199 and names the field by its path.
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
	// Name is the instance's name in logs and tables; it need not be unique.
	Name string `json:"name"`
	// Domain is the failure domain, for example a rack or sector. Needed.
	Domain string `json:"domain"`
	// Region is the region that the failure domain lies in. Needed.
	Region string `json:"region"`
	// Listen holds the addresses that the instance listens on.
	Listen ListenAddresses `json:"listen"`
	// Platform is the URL of the object API, for example "http://127.0.0.1:7900". Needed.
	Platform string `json:"platform"`
	// Peers are control addresses of other instances to ask while the platform is away. Default none.
	Peers []Address `json:"peers,omitempty"`
	// OperatorKeys are the SHA-256 hashes, in hexadecimal, of the keys that open the administration address.
	// Needed, from 1.
	OperatorKeys []ticket.Hash `json:"operatorKeys"`
	// LogLevel is "debug", "info", "warn" or "error"; default "info".
	LogLevel string `json:"logLevel,omitempty"`
	// DrainMillis bounds a planned stop, in milliseconds, 0 to 600,000; default 30,000.
	DrainMillis int `json:"drainMillis,omitempty"`
	// TLS holds the keys for the links between instances. Without it the links are plain TCP, which is
	// accepted on loopback addresses only.
	TLS *TLS `json:"tls,omitempty"`
}

// ListenAddresses holds the addresses of an instance, each an IP number with a port.
type ListenAddresses struct {
	// Clients takes requests of callers.
	Clients Address `json:"callers"`
	// Admin takes calls of operators.
	Admin Address `json:"admin"`
	// Backends takes announcements of backend servers.
	Backends Address `json:"slot"`
	// Link takes requests that other instances forward.
	Link Address `json:"link"`
	// Control takes calls of other instances over TCP, and membership messages over UDP on the same number.
	Control Address `json:"control"`
}

// TLS holds the files for mutual TLS between instances, in PEM.
type TLS struct {
	// Certificate is this instance's certificate.
	Certificate string `json:"certificate"`
	// Key is its private key.
	Key string `json:"key"`
	// Authorities are the certificates that sign other instances' certificates.
	Authorities string `json:"authorities"`
	// Secrets holds the secrets that authenticate membership messages, one on a line, each of 16 bytes or more
	// without spaces. The first one signs, all are accepted: add a new one everywhere at the end, then move it
	// to the front, then take the old one out. All four files are read again when they change.
	Secrets string `json:"secrets"`
}

// Address is an IP number with a port. Port 0 lets the system choose one.
type Address struct{ netip.AddrPort }

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *Address) UnmarshalText(text []byte) error {
	p, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return result.New(result.SettingsBadAddress, "%q is not an IP number with a port", text)
	}
	a.AddrPort = p
	return nil
}

const (
	defaultDrainMillis = 30_000
	maxDrainMillis     = 600_000
	maxNameBytes       = 128
)

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Wrap(result.SettingsUnreadable, err, "settings file: %v", err)
	}
	return Parse(data)
}

// Parse reads and checks settings in JSON.
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

// decodeError gives a decoder's error its code; it names the field's path already.
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

// Validate checks ranges and what is needed.
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
		return result.New(result.SettingsMissing, "operatorKeys: at least one is needed")
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		return result.New(result.SettingsOutOfRange, "logLevel: %q is none of debug, info, warn, error", s.LogLevel)
	}
	if s.DrainMillis < 0 || s.DrainMillis > maxDrainMillis {
		return result.New(result.SettingsOutOfRange, "drainMillis: %d lies outside 0 to %d", s.DrainMillis, maxDrainMillis)
	}
	return s.validateTLS()
}

func validateNames(s *Settings) error {
	for _, n := range []struct{ field, value string }{{"domain", s.Domain}, {"region", s.Region}, {"name", s.Name}} {
		if n.value == "" {
			return result.New(result.SettingsMissing, "%s: is needed", n.field)
		}
		if len(n.value) > maxNameBytes || strings.ContainsFunc(n.value, func(c rune) bool { return !unicode.IsPrint(c) }) {
			return result.New(result.SettingsOutOfRange, "%s: is not 1 to %d printable bytes", n.field, maxNameBytes)
		}
	}
	return nil
}

func (l ListenAddresses) validate() error {
	taken := make(map[netip.AddrPort]string)
	for _, a := range []struct {
		field string
		addr  Address
	}{
		{"callers", l.Clients}, {"admin", l.Admin}, {"slot", l.Backends}, {"link", l.Link}, {"control", l.Control},
	} {
		if !a.addr.IsValid() {
			return result.New(result.SettingsMissing, "listen.%s: is needed", a.field)
		}
		if a.addr.Addr().IsUnspecified() && (a.field == "link" || a.field == "control") {
			return result.New(result.SettingsBadAddress, "listen.%s: %s is not an address by which other instances reach this one", a.field, a.addr)
		}
		if other, ok := taken[a.addr.AddrPort]; ok && a.addr.Port() != 0 {
			return result.New(result.SettingsTwice, "listen.%s: listen.%s has the same address", a.field, other)
		}
		taken[a.addr.AddrPort] = a.field
	}
	return nil
}

func validatePlatform(s string) error {
	if s == "" {
		return result.New(result.SettingsMissing, "platform: is needed")
	}
	u, err := url.Parse(s)
	if err != nil {
		return result.Wrap(result.SettingsOutOfRange, err, "platform: is not a URL")
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return result.New(result.SettingsOutOfRange, "platform: %q is neither an http nor an https URL", s)
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return result.New(result.SettingsBadAddress, "platform: %q is not an IP number with a port", u.Host)
	}
	if u.User != nil || strings.Trim(u.Path, "/") != "" || u.RawQuery != "" || u.Fragment != "" {
		return result.New(result.SettingsOutOfRange, "platform: a URL has a scheme, an address and a port here, no more")
	}
	return nil
}

func (s *Settings) validateTLS() error {
	if s.TLS == nil {
		if !s.Listen.Link.Addr().IsLoopback() || !s.Listen.Control.Addr().IsLoopback() {
			return result.New(result.SettingsMissing, "tls: is needed where listen.link or listen.control is not a loopback address")
		}
		return nil
	}
	for _, f := range []struct{ field, value string }{
		{"certificate", s.TLS.Certificate}, {"key", s.TLS.Key}, {"authorities", s.TLS.Authorities}, {"secrets", s.TLS.Secrets},
	} {
		if f.value == "" {
			return result.New(result.SettingsMissing, "tls.%s: is needed", f.field)
		}
	}
	return nil
}
