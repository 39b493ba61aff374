package demo

import (
	"fmt"
	"time"

	"amaranthstile/fleet"
	"amaranthstile/result"
)

// checkRates compares what each account got over all instances with its rate and burst.
func (d *demo) checkRates(took time.Duration) {
	for _, a := range accounts() {
		t := d.ledgers[a.name].CountOutcomes()
		most := a.rate*took.Seconds() + float64(a.burst)
		got := t.Succeeded + t.Failed
		d.report.add("rate and burst of "+a.name, fmt.Sprintf("at most %.0f", most), float64(got) <= most, "%s", list(t))
	}
}

// check compares all calls with what ran.
func (d *demo) check() {
	var sum fleet.Violations
	refusedWithin := 0
	for n, a := range accounts() {
		l := d.ledgers[a.name]
		sum.Add(l.Check(d.fleet))
		if n > 0 {
			refusedWithin += l.CountOutcomes().Codes[result.RateExceeded]
		}
	}
	d.report.add("what must not repeat runs once", "0", sum.DuplicateRuns == 0, "%d ran twice", sum.DuplicateRuns)
	d.report.add("\"not run\" is true", "0", sum.FalseNotRun == 0, "%d false", sum.FalseNotRun)
	d.report.add("the whole answer to one's own request", "0", sum.WrongResponses == 0, "%d others", sum.WrongResponses)
	d.report.add("no backend server sees a key", "0", sum.KeysLeaked == 0, "%d seen", sum.KeysLeaked)
	d.report.add("every refusal says whether it ran", "0", sum.MissingRunStatus == 0, "%d unmarked", sum.MissingRunStatus)
	d.report.add("nobody within its rate is refused for it", "0", refusedWithin == 0, "%d refused", refusedWithin)
}
