package quota

import "time"

// The times of a call to a coordinator. A lost packet is sent again after 200 ms at the earliest, so that another path is
// faster.
const (
	// ReportCallTimeout bounds the whole call to a coordinator. The grants in its reply are used within LateGrantTTL.
	ReportCallTimeout = 300 * time.Millisecond
	// UsageTimeout bounds one attempt of a call that must not be repeated while an earlier attempt is under way.
	UsageTimeout = 150 * time.Millisecond
	// repeatDelay is how long an attempt may take, at least, before the report is repeated by another path: several times
	// the usual latency.
	repeatDelay = 30 * time.Millisecond
	// promptGrantTTL is how long after a report was sent its grants may be used without counting as late. It is what the
	// tenth of overage and slack covers that neither the coordinator nor the instances hand out by themselves: at a rate r,
	// 1.04 r + 1.6 a second of 2 + 0.05 r + 0.01 of the burst, with the default bounds, up to 153 requests per second.
	promptGrantTTL = 60 * time.Millisecond
	// MaxReportAttempts bounds the attempts of a call: those that fit into ReportCallTimeout.
	MaxReportAttempts = int(ReportCallTimeout / repeatDelay)
	// maxFailedAttempts is how many attempts have to fail before the call ends while none is under way.
	maxFailedAttempts = 3
)

// CallStep is what a caller does next.
type CallStep int

// The steps of a call.
const (
	// AwaitReply waits for a reply or an error until the time returned.
	AwaitReply CallStep = iota
	// SendDirect sends the report to the coordinator, SendByRelay by way of another instance.
	SendDirect
	SendByRelay
	// Restate numbers the report anew, with Late set, and ignores the replies to it until now.
	Restate
	// GiveUp ends the call: the coordinator can't be reached.
	GiveUp
)

// ReportCall decides when and by which path a report is sent and repeated. It is a plain state machine and not safe for
// concurrent use.
//
// A coordinator that recognizes repeated reports is called by several paths without waiting for each to fail. With one of an
// earlier version, that would count requests twice, so that a relay is used only after the direct call has failed.
type ReportCall struct {
	repeatable, late  bool
	direct            bool // the direct path was not used yet and may be
	stalled           bool // an earlier attempt by it has got no reply, so that a relay follows at once
	repeats           *RepeatBudget
	delay             time.Duration // between attempts
	startedAt, nextAt time.Time
	statedAt          time.Time // when the present statement of the report was made
	made, attempts    int       // attempts that were made, and that may still be made
	underWay, failed  int       // attempts without an outcome, and those that failed
}

// CallPath is what a caller knows of the path to a coordinator that recognizes repeated reports.
type CallPath struct {
	// Repeats bounds the repetitions.
	Repeats *RepeatBudget
	// Delay is how long an attempt may take before the report is repeated.
	Delay time.Duration
	// Late means that calls were slow recently, and Stalled that an earlier direct attempt has got no reply yet.
	Late, Stalled bool
}

// NewReportCall returns a call that begins now to a coordinator that recognizes repeated reports.
func NewReportCall(now time.Time, p CallPath) *ReportCall {
	return &ReportCall{
		repeatable: true, late: p.Late, direct: true, stalled: p.Stalled, delay: p.Delay, repeats: p.Repeats,
		startedAt: now, statedAt: now, nextAt: now, attempts: min(1+p.Repeats.Begin(), MaxReportAttempts),
	}
}

// NewSequentialCall returns a call that begins now to a coordinator of an earlier version.
func NewSequentialCall(now time.Time, direct bool) *ReportCall {
	c := &ReportCall{direct: direct, delay: UsageTimeout, startedAt: now, statedAt: now, nextAt: now, attempts: 1}
	if direct {
		c.attempts = 2
	}
	return c
}

// Repeatable reports whether the report may be sent by several paths.
func (c *ReportCall) Repeatable() bool { return c.repeatable }

// Late reports whether the report is stated as late.
func (c *ReportCall) Late() bool { return c.late }

// MayUse reports whether what a reply grants may be used now. A reply that takes longer than promptGrantTTL has to confirm
// that the coordinator counts the grants as late: a relay of an earlier version does not tell it that they are. Coordinators
// of earlier versions never confirm it.
func (c *ReportCall) MayUse(now time.Time, s BucketState) bool {
	took := now.Sub(c.statedAt)
	return !c.repeatable || took < promptGrantTTL || s.Late && took < LateGrantTTL
}

// Slow reports whether a reply that arrives now was so slow that the next reports had better be stated as late.
func (c *ReportCall) Slow(now time.Time) bool {
	return c.repeatable && now.Sub(c.startedAt) >= promptGrantTTL
}

// AttemptTimeout returns how long an attempt that begins now may take.
func (c *ReportCall) AttemptTimeout(now time.Time) time.Duration {
	left := c.startedAt.Add(ReportCallTimeout).Sub(now)
	if !c.repeatable {
		return min(left, UsageTimeout)
	}
	return left
}

// Next returns the next step. The caller takes it at once, and calls again after it, after each outcome, and at the time
// returned with AwaitReply.
func (c *ReportCall) Next(now time.Time) (step CallStep, until time.Time) {
	end := c.startedAt.Add(ReportCallTimeout)
	if !now.Before(end) || c.attempts == 0 && c.underWay == 0 {
		return GiveUp, now
	}
	if c.attempts == 0 {
		return AwaitReply, end
	}
	if c.repeatable && !c.late {
		late := c.startedAt.Add(promptGrantTTL)
		if !now.Before(late) {
			c.late, c.nextAt, c.statedAt, c.direct, c.stalled = true, now, now, true, true
			return Restate, now
		}
		end = late
		if c.made > 0 && c.attempts == 1 {
			c.nextAt = late // the last attempt is for the report that may be answered late
		}
	}
	if now.Before(c.nextAt) {
		if c.nextAt.Before(end) {
			return AwaitReply, c.nextAt
		}
		return AwaitReply, end
	}
	return c.send(now), now
}

// send begins an attempt, by the direct path first.
func (c *ReportCall) send(now time.Time) CallStep {
	if c.made > 0 && c.repeatable {
		c.repeats.Spend()
	}
	c.made++
	c.attempts--
	c.underWay++
	c.nextAt = now.Add(c.delay)
	if c.direct {
		c.direct = false
		if c.stalled {
			c.nextAt = now
		}
		return SendDirect
	}
	return SendByRelay
}

// HandleError records that an attempt failed. If no other one is under way, the next follows at once, or the call ends. One of
// a relay that waited for the coordinator in vain does not end it: the relay's path may be lossy, too.
func (c *ReportCall) HandleError(now time.Time) {
	c.underWay--
	c.failed++
	if c.underWay > 0 {
		return
	}
	c.nextAt = now
	if c.failed >= maxFailedAttempts {
		c.attempts = 0
	}
}
