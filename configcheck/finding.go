package configcheck

import "fmt"

// Number identifies a kind of finding. The hundreds digit is its class. A number is never reused for another meaning.
type Number int

// The kinds of findings; docs/OPERATORS.md lists them.
const (
	Unreadable      Number = 101 // the configuration can't be decoded
	UnknownService  Number = 102 // a route names a service that is not listed
	RouteTwice      Number = 103 // two routes have the same host and prefix
	UnknownKind     Number = 104 // the kind of a route is not known
	BadWeights      Number = 105 // the weights of a traffic split are negative or all zero
	NoTimeLimit     Number = 106 // a route has no time limit
	KeyTwice        Number = 107 // two client accounts have the same API key
	VersionNotNewer Number = 108 // the version is not higher than the one in force
	NegativeValue   Number = 109 // a number that can't be negative is
	NameTwice       Number = 110 // two entries have the same name; only the last one is in force

	RouteNeverMatches    Number = 201 // no request can match a route
	AccountWithoutKeys   Number = 202 // no request can belong to a client account
	ServiceWithoutRoute  Number = 203 // no request can reach a service
	IdleKeys             Number = 204 // API keys that no request needs or can present
	ServiceWithoutWeight Number = 205 // a service of a traffic split gets no requests
	FieldNotRead         Number = 206 // this version ignores a field

	TargetAboveLimit Number = 301 // the target latency of a route is above its time limit
	BurstZero        Number = 302 // a client account has a rate and no burst, which counts as a burst of 1
	RateBelowWindow  Number = 303 // the rate of a client account is below one request in the quota's window
	NoAttempts       Number = 304 // a route allows no attempt, which counts as the default
	HeaderLimitHigh  Number = 305 // the limit on headers is above what the server reads

	VersionDiffers Number = 401 // the version
	EntryAdded     Number = 402 // an entry that is not in force
	EntryRemoved   Number = 403 // an entry in force that would be gone
	EntryChanged   Number = 404 // an entry with other values than the one in force
	LimitsChanged  Number = 405 // other limits than those in force
)

// Class is what a finding means for the operator.
type Class int

// The classes of findings.
const (
	Error         Class = 1 // the configuration must not be submitted
	NeverMatches  Class = 2 // an entry has no effect
	Contradiction Class = 3 // limits contradict each other
	Difference    Class = 4 // from the version in force
)

// numbersPerClass is how many numbers a class has.
const numbersPerClass = 100

// Class returns the class of the finding.
func (n Number) Class() Class { return Class(n / numbersPerClass) }

// String implements fmt.Stringer.
func (c Class) String() string {
	switch c {
	case Error:
		return "error"
	case NeverMatches:
		return "never matches"
	case Contradiction:
		return "contradiction"
	case Difference:
		return "difference"
	}
	return "unknown"
}

// Finding is one result of a check.
type Finding struct {
	Number Number
	// Subject is what the finding is about, for example `route "a"`.
	Subject string
	// Text describes what was found. It contains no API key.
	Text string
}

// String returns the finding as a line of the report.
func (f Finding) String() string {
	return fmt.Sprintf("%d %s: %s: %s", f.Number, f.Number.Class(), f.Subject, f.Text)
}

// HasErrors reports whether any finding is an Error.
func HasErrors(findings []Finding) bool {
	for _, f := range findings {
		if f.Number.Class() == Error {
			return true
		}
	}
	return false
}
