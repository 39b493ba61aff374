package demo

import (
	"fmt"
	"time"

	"amaranthstile/fleet"
	"amaranthstile/result"
)

// checkRateLimits checks that each account's requests that backend servers responded to, over all instances, stay within
// the account's rate and burst.
func (d *demo) checkRateLimits(elapsed time.Duration) {
	for _, a := range accounts() {
		outcomes := d.callLogs[a.name].CountOutcomes()
		limit := a.rate*elapsed.Seconds() + float64(a.burst)
		served := outcomes.Succeeded + outcomes.Failed
		d.report.add("rate and burst of "+a.name, fmt.Sprintf("at most %.0f", limit), float64(served) <= limit,
			"%s", formatOutcomes(outcomes))
	}
}

// checkGuarantees compares all calls with the requests that ran, and checks that no client account that kept within its
// rate was refused for exceeding it.
func (d *demo) checkGuarantees() {
	var violations fleet.Violations
	refusedWithinRate := 0
	for n, a := range accounts() {
		callLog := d.callLogs[a.name]
		violations.Add(callLog.Check(d.fleet))
		if n > 0 {
			refusedWithinRate += callLog.CountOutcomes().Codes[result.RateExceeded]
		}
	}
	d.report.add("non-repeatable requests run at most once", "0", violations.DuplicateRuns == 0,
		"%d ran more than once", violations.DuplicateRuns)
	d.report.add("requests reported as not run did not run", "0", violations.FalseNotRun == 0,
		"%d ran", violations.FalseNotRun)
	d.report.add("responses are complete and belong to their request", "0", violations.WrongResponses == 0,
		"%d wrong", violations.WrongResponses)
	d.report.add("no backend server receives a key", "0", violations.KeysLeaked == 0,
		"%d received", violations.KeysLeaked)
	d.report.add("every error response states whether the request ran", "0", violations.MissingRunStatus == 0,
		"%d without run status", violations.MissingRunStatus)
	d.report.add("no account within its rate is refused for exceeding it", "0", refusedWithinRate == 0,
		"%d refused", refusedWithinRate)
}
