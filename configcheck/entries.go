package configcheck

import (
	"strings"

	"amaranthstile/entry"
	"amaranthstile/route"
	"amaranthstile/ticket"
)

// matcher is what a route matches.
type matcher struct{ host, prefix string }

// checkRoutes checks each route by itself, and which routes no request can match.
func (c *checker) checkRoutes() {
	first := make(map[matcher]string, len(c.in.Routes))
	table := (*route.Table)(nil).With(c.in.Routes)
	for _, name := range sortedNames(c.in.Routes) {
		r, subject := c.in.Routes[name], subjectOf("route", name)
		c.checkRoute(subject, r)
		m := matcher{r.Host, r.Prefix}
		if other, ok := first[m]; ok {
			c.add(RouteTwice, subject, "the route %q has the same host %q and path prefix %q; which one is used is not defined", other, m.host, m.prefix)
			continue
		}
		first[m] = name
		c.checkMatches(subject, m, table)
	}
}

// checkRoute checks the values of one route.
func (c *checker) checkRoute(subject string, r *ticket.Route) {
	if len(r.Split) == 0 {
		c.checkServiceIsListed(subject, r.Service)
	}
	c.checkSplit(subject, r.Split)
	if r.TimeLimitMillis <= 0 {
		c.add(NoTimeLimit, subject, "it has no time limit of at least 1 ms")
	}
	if r.TimeLimitMillis > 0 && r.TargetMillis > r.TimeLimitMillis {
		c.add(TargetAboveLimit, subject, "the target latency of %d ms is above the time limit of %d ms", r.TargetMillis, r.TimeLimitMillis)
	}
	if r.MaxRuns == 0 {
		c.add(NoAttempts, subject, "no attempt is allowed; this counts as the default")
	}
	c.checkNotNegative(subject, "target latency", r.TargetMillis < 0)
	c.checkNotNegative(subject, "attempts", r.MaxRuns < 0)
}

// checkServiceIsListed reports a service that is not listed. A configuration that lists no service allows all.
func (c *checker) checkServiceIsListed(subject, service string) {
	if _, ok := c.in.Services[service]; !ok && (len(c.in.Services) > 0 || service == "") {
		c.add(UnknownService, subject, "the service %q is not listed", service)
	}
}

// checkSplit checks a traffic split.
func (c *checker) checkSplit(subject string, split []ticket.WeightedService) {
	total, negative := 0.0, false
	for _, p := range split {
		c.checkServiceIsListed(subject, p.Service)
		total += max(p.Weight, 0)
		negative = negative || p.Weight < 0
	}
	switch {
	case negative:
		c.add(BadWeights, subject, "a weight of its traffic split is negative")
		return
	case len(split) > 0 && total == 0:
		c.add(BadWeights, subject, "all weights of its traffic split are 0")
		return
	}
	for _, p := range split {
		if p.Weight == 0 {
			c.add(ServiceWithoutWeight, subject, "the service %q has the weight 0 in its traffic split", p.Service)
		}
	}
}

// checkMatches looks up a path below the route's prefix, as the entry side does.
func (c *checker) checkMatches(subject string, m matcher, table *route.Table) {
	path := strings.TrimSuffix(m.prefix, "/") + "/x"
	// The lookup of a path that another route has as its prefix would find that route.
	for found, ok := table.Lookup(m.host, path); ok && found.Prefix == path; found, ok = table.Lookup(m.host, path) {
		path += "x"
	}
	found, ok := table.Lookup(m.host, path)
	switch {
	case strings.ContainsAny(m.host, "*/ "):
		c.add(RouteNeverMatches, subject, "%q is not a host name", m.host)
	case !strings.HasPrefix(m.prefix, "/"):
		c.add(RouteNeverMatches, subject, "the path prefix %q does not begin with a slash", m.prefix)
	case entry.AmbiguousPath(path):
		c.add(RouteNeverMatches, subject, "requests with the path prefix %q are refused as ambiguous", m.prefix)
	case !ok || found.Host != m.host || found.Prefix != m.prefix:
		c.add(RouteNeverMatches, subject, "a request for the host %q and the path %q does not find it", m.host, path)
	}
}

// checkServices checks the services, and whether requests reach them.
func (c *checker) checkServices() {
	reached := make(map[string]bool, len(c.in.Services))
	for _, r := range c.in.Routes {
		reached[r.Service] = reached[r.Service] || len(r.Split) == 0
		for _, p := range r.Split {
			reached[p.Service] = true
		}
	}
	for _, name := range sortedNames(c.in.Services) {
		subject := subjectOf("service", name)
		if !reached[name] {
			c.add(ServiceWithoutRoute, subject, "no route leads to it")
		}
		c.checkNotNegative(subject, "connections", c.in.Services[name].MaxConnections < 0)
	}
}

// checkAccounts checks the client accounts and their API keys.
func (c *checker) checkAccounts() {
	owner := make(map[ticket.Hash]string)
	needed := c.needsKeys()
	for _, name := range sortedNames(c.in.Accounts) {
		a, subject := c.in.Accounts[name], subjectOf("account", name)
		c.checkKeys(name, a, owner)
		switch {
		case len(a.Keys) == 0:
			c.add(AccountWithoutKeys, subject, "it has no API key")
		case !needed:
			c.add(IdleKeys, subject, "no route requires an API key")
		}
		c.checkNotNegative(subject, "rate", a.Rate < 0)
		if perWindow := a.Rate * c.options.QuotaWindow.Seconds(); a.Rate > 0 && perWindow < 1 {
			c.add(RateBelowWindow, subject, "its rate allows %.2g requests in %v, less than one", perWindow, c.options.QuotaWindow)
		}
	}
	for _, name := range c.in.ZeroBursts {
		c.add(BurstZero, subjectOf("account", name), "it has a rate and no burst, which counts as a burst of 1")
	}
}

// checkKeys reports the keys of one account that belong to another one too, and those that have no effect.
func (c *checker) checkKeys(name string, a *ticket.Account, owner map[ticket.Hash]string) {
	subject, repeated := subjectOf("account", name), 0
	reported := make(map[string]bool)
	for _, k := range a.Keys {
		other, taken := owner[k]
		switch {
		case !taken:
			owner[k] = name
		case other == name:
			repeated++
		case !reported[other]:
			reported[other] = true
			c.add(KeyTwice, subject, "it has an API key of the account %q", other)
		}
	}
	if repeated > 0 {
		c.add(IdleKeys, subject, "API keys listed more than once: %d", repeated)
	}
	if n := c.in.UnusableKeys[name]; n > 0 {
		c.add(IdleKeys, subject, "API keys that no request can present: %d", n)
	}
}

// needsKeys reports whether any route requires an API key.
func (c *checker) needsKeys() bool {
	for _, r := range c.in.Routes {
		if !r.Open {
			return true
		}
	}
	return false
}
