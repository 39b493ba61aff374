// Package configcheck checks a configuration before an operator submits it. It works on decoded configurations, without I/O.
// Its cost is linear in the number of entries; it is designed for 54,000 routes and 120,000 client accounts.
package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"amaranthstile/entry"
	"amaranthstile/sidecar"
)

// Input is a decoded configuration, with what only its decoder knows.
type Input struct {
	*sidecar.Configuration
	// MaxBodyBytes is the limit on a request's body, which decoding copies to each route.
	MaxBodyBytes int64
	// UnreadFields are the paths of fields that the decoder ignores.
	UnreadFields []string
	// RepeatedNames are the entries whose name another entry of the same sort has, for example `route "a"`.
	RepeatedNames []string
	// UnknownKinds holds the kinds of routes that the decoder does not know, by the name of the route.
	UnknownKinds map[string]string
	// ZeroBursts are the names of the accounts that have a rate and no burst.
	ZeroBursts []string
	// UnusableKeys counts the API keys that no request can present, by the name of the account.
	UnusableKeys map[string]int
}

// Options are the options of a check.
type Options struct {
	// InForce is the configuration to compare with; default none.
	InForce *Input
	// QuotaWindow is the window in which the rates of client accounts are bounded.
	QuotaWindow time.Duration
}

// Check returns the findings about a configuration, ordered by number and subject.
func Check(in Input, o Options) []Finding {
	c := &checker{in: in, options: o}
	c.checkDecoding()
	c.checkRoutes()
	c.checkServices()
	c.checkAccounts()
	c.checkLimits()
	if o.InForce != nil {
		c.compare(*o.InForce)
	}
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Subject, b.Subject))
	})
	return c.findings
}

// checker collects the findings of one check.
type checker struct {
	in       Input
	options  Options
	findings []Finding
}

func (c *checker) add(n Number, subject, format string, args ...any) {
	c.findings = append(c.findings, Finding{Number: n, Subject: subject, Text: fmt.Sprintf(format, args...)})
}

// subjectOf returns the subject of findings about a named entry.
func subjectOf(sort, name string) string { return fmt.Sprintf("%s %q", sort, name) }

// sortedNames returns the names of entries in order, so that equal input gives equal findings.
func sortedNames[T any](entries map[string]T) []string { return slices.Sorted(maps.Keys(entries)) }

// checkDecoding reports what the decoder found.
func (c *checker) checkDecoding() {
	for _, x := range c.in.RepeatedNames {
		c.add(NameTwice, x, "the name occurs more than once; only the last entry is in force")
	}
	for _, x := range c.in.UnreadFields {
		c.add(FieldNotRead, "field "+x, "this version does not read it")
	}
	for _, name := range sortedNames(c.in.UnknownKinds) {
		c.add(UnknownKind, subjectOf("route", name), "the kind %q is not known; its requests would run at most once", c.in.UnknownKinds[name])
	}
}

// checkLimits checks the limits for all clients.
func (c *checker) checkLimits() {
	l := c.in.Limits
	if l.HeaderBytes > entry.MaxHeaderBytes {
		c.add(HeaderLimitHigh, "limits", "the headers of a request may have %d bytes, but the server reads at most %d", l.HeaderBytes, entry.MaxHeaderBytes)
	}
	c.checkNotNegative("limits", "bytes of the headers", l.HeaderBytes < 0)
	c.checkNotNegative("limits", "bytes of a body", c.in.MaxBodyBytes < 0)
	c.checkNotNegative("limits", "header timeout", l.HeaderTimeout < 0)
	c.checkNotNegative("limits", "idle timeout", l.IdleTimeout < 0)
}

func (c *checker) checkNotNegative(subject, field string, negative bool) {
	if negative {
		c.add(NegativeValue, subject, "%s: the value is below 0", field)
	}
}
