package quota

import "time"

// AccountBucket is the token bucket of one client account at its coordinator, the one instance that counts the
// account's requests for the fleet. It is a plain state machine and not safe for concurrent use.
//
// While the bucket is well filled, it reserves tokens for the instances that call it. An instance admits requests from
// its reservation first and reports them at once, so that these do not wait for the coordinator; without a reservation, it
// asks before it admits. Tokens are taken out of the bucket when they are reserved or granted, so that nothing is admitted
// on a level that no longer holds, however many instances there are.
//
// When the coordinator of an account changes, the new one may not know what was spent at the previous one. It then starts
// without tokens: the burst may have been spent just now.
type AccountBucket struct {
	rate, burst  float64
	level        float64 // neither spent nor reserved
	updatedAt    time.Time
	initialized  bool
	reservations reservations
	spent        float64   // what was taken from the bucket since it was created or its past was forgotten
	forgotAt     time.Time // when its past was forgotten; zero if never
	released     releasedShares
	withheld     withheldTokens
	late         lateGrants
}

// NewAccountBucket returns the bucket of an account that may have spent its burst at another coordinator until a time. The
// zero value is the bucket of an account that has spent nothing.
func NewAccountBucket(emptyAt time.Time) *AccountBucket {
	return &AccountBucket{updatedAt: emptyAt, forgotAt: emptyAt}
}

// WindowLimit bounds how many requests of an account may run in any window of time: those that its rate and burst
// allow, increased by the overage, plus the slack.
type WindowLimit struct {
	// Length is the length of the window; 0 means that rate and burst apply exactly.
	Length time.Duration
	// Overage is the fraction by which rate and burst may be exceeded.
	Overage float64
	// Slack is the number of additional requests in a window.
	Slack float64
}

const (
	// coordinatorFraction is the fraction of the overage and the slack that a coordinator hands out.
	coordinatorFraction = 0.4
	// initialFraction is the fraction that instances may spend when they lose the coordinator. The rest covers rounding, and
	// instances that restart before they have reported what they spent.
	initialFraction = 0.5
)

// Allowed returns the rate and burst of the token bucket that a coordinator hands out.
func (w WindowLimit) Allowed(rate, burst float64) (r, b float64) {
	if w.Length <= 0 {
		return rate, burst
	}
	factor := 1 + coordinatorFraction*w.Overage
	return rate*factor + coordinatorFraction*w.Slack/w.Length.Seconds(), burst * factor
}

// initialShares returns how many requests the instances may spend together when they lose the coordinator: what the limit
// allows beyond the bucket of Allowed. If the burst is less than a request for each instance, rounding to whole requests
// uses a part of that.
func (w WindowLimit) initialShares(rate, burst float64, instances int) float64 {
	rest := initialFraction * (w.Overage*(rate*w.Length.Seconds()+burst) + w.Slack)
	return rest * min(burst/float64(instances), 1)
}

// FallbackShare returns what one of so many instances may spend by itself while the coordinator can't be reached. The
// shares of all indexes from 0 on add up to the bucket of Allowed and to initialShares.
func (w WindowLimit) FallbackShare(rate, burst float64, index, instances int) FallbackShare {
	r, b := w.Allowed(rate, burst)
	n := float64(instances)
	initial := w.initialShares(rate, burst, instances)
	before := func(i int) int { return int(initial * float64(i) / n) }
	return FallbackShare{
		Rate: r / n, Burst: b / n, Initial: before(index+1) - before(index), Offset: float64(index) / n, Window: w.Length,
	}
}

// SetLimits sets the rate and burst in force of the account.
func (b *AccountBucket) SetLimits(now time.Time, rate, burst float64) {
	if !b.initialized {
		b.initialized, b.rate, b.burst = true, rate, burst
		if b.updatedAt.IsZero() {
			b.updatedAt, b.level = now, burst
		}
	}
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// refill adds the tokens that have accrued since the last update.
func (b *AccountBucket) refill(now time.Time) {
	for until, expires := b.late.next(); expires && !until.After(now); until, expires = b.late.next() {
		b.accrue(until)
		b.late.expire()
	}
	b.accrue(now)
}

// accrue adds the tokens that accrue until a time, up to the present capacity.
func (b *AccountBucket) accrue(now time.Time) {
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		b.level = max(b.level, min(b.level+elapsed*b.rate, b.capacity()))
		b.updatedAt = now
	}
}

// ForgetPast records that requests were spent at another coordinator.
func (b *AccountBucket) ForgetPast(now time.Time) {
	b.refill(now)
	b.level, b.spent, b.withheld, b.forgotAt = min(b.level, 0), 0, withheldTokens{}, now
}

// Withhold keeps back what accrues between two times: the coordinator was paused from the first one until now, and instances
// that can't reach it spend their own shares until they call again. It goes to the requests that they report, and the rest
// to the bucket after withheldSpan.
func (b *AccountBucket) Withhold(now, from, until time.Time) {
	b.refill(from)
	if elapsed := until.Sub(b.updatedAt).Seconds(); b.initialized && elapsed > 0 {
		b.withheld = withheldTokens{tokens: b.withheld.tokens + elapsed*b.rate, until: now.Add(withheldSpan)}
		b.updatedAt = until
	}
}

// withheldSpan is how long after a pause of the coordinator the instances may take to report what they spent: they call
// again at least once a second.
const withheldSpan = 2 * time.Second

// withheldTokens are tokens that are kept back for reported requests until a time.
type withheldTokens struct {
	tokens float64
	until  time.Time
}

// cover takes the tokens of reported requests, and returns how many requests they cover.
func (w *withheldTokens) cover(requests float64) float64 {
	covered := min(w.tokens, requests)
	w.tokens -= covered
	return covered
}

// release returns the tokens that are left once no further report is expected.
func (w *withheldTokens) release(now time.Time) (tokens float64) {
	if now.Before(w.until) {
		return 0
	}
	tokens, w.tokens = w.tokens, 0
	return tokens
}

// capacity returns the highest level: what is reserved, or granted and perhaps not used yet, counts as part of the burst.
func (b *AccountBucket) capacity() float64 {
	return b.burst - float64(b.reservations.total+b.late.total)
}

// Usage is what an instance reports of an account to the coordinator.
type Usage struct {
	// Instance identifies the instance, Sequence orders its reports, and Stream is that of ReportSequence.
	Instance         string
	Sequence, Stream uint64
	// Spent is the number of requests that it has admitted already, Requested the number of those that wait for a decision.
	Spent, Requested int
	// Held is the number of reserved requests that it has not admitted yet.
	Held int
	// Returned is the number of requests granted at GrantedAt, by the coordinator's clock, that it will not use: the reply did
	// not arrive in time.
	Returned  int
	GrantedAt time.Time
	// Late means that it may use what is granted up to LateGrantTTL after it sent the report.
	Late bool
}

// Spend subtracts the requests that were spent already, grants as many of the requested ones as there are tokens, and
// reserves some for the instance if many are left. It returns how full the bucket is.
func (b *AccountBucket) Spend(now time.Time, u Usage) BucketState {
	b.level += float64(b.reservations.expire(now))
	b.refill(now)
	key := reportStream{u.Instance, u.Stream}
	b.late.release(key)
	if !u.GrantedAt.After(b.forgotAt) {
		u.Returned = 0 // the level has been reset since, and must not grow by it
	}
	if left := b.withheld.release(now) + float64(u.Returned); left > 0 {
		b.level = max(b.level, min(b.level+left, b.capacity()))
	}
	covered, returned := b.reservations.settle(now, u)
	unreserved := float64(u.Spent - covered)
	b.level = max(b.level+float64(returned)-unreserved+b.withheld.cover(unreserved), -b.burst-maxDebt)
	granted := min(u.Requested, int(max(b.level, 0)))
	b.level -= float64(granted)
	if u.Late {
		b.late.add(now, key, granted)
	}
	reserved := b.reservations.reserve(now, u.Instance, int(b.level-reserveLevel*b.burst))
	b.level -= float64(reserved)
	b.spent += float64(u.Spent - covered + granted + reserved - u.Returned)
	s := BucketState{Granted: granted, Reserved: reserved, Late: u.Late, Level: (b.level + float64(b.reservations.total)) / max(b.burst, 1)}
	if b.level < 1 && b.rate > 0 {
		s.NextMillis = int64((1 - b.level) / b.rate * 1000)
	}
	return s
}

// ReleaseShare adds the share of the rate that was withheld for an instance since a takeover began, once for each takeover:
// the instance spent its own share until it called, and reports that with this call.
func (b *AccountBucket) ReleaseShare(now time.Time, instance string, since time.Time, rate float64) {
	b.refill(now)
	if b.released.add(since, instance) {
		b.level = max(b.level, min(b.level+rate*now.Sub(since).Seconds(), b.capacity()))
	}
}

// releasedShares are the instances whose shares were released since a takeover began.
type releasedShares struct {
	since     time.Time
	instances map[string]struct{}
}

// add adds an instance, and reports whether it is new in this takeover.
func (r *releasedShares) add(since time.Time, instance string) bool {
	if !r.since.Equal(since) {
		r.since, r.instances = since, make(map[string]struct{})
	}
	if _, ok := r.instances[instance]; ok {
		return false
	}
	r.instances[instance] = struct{}{}
	return true
}

// Transfer is what one coordinator hands over to the next of an account.
type Transfer struct {
	// Level is the number of tokens that are neither spent nor reserved.
	Level float64 `json:"level"`
	// Reserved are the tokens that instances may spend before they report it.
	Reserved map[string]int `json:"reserved,omitempty"`
	// Late are the tokens that were granted by replies which may arrive late.
	Late int `json:"late,omitempty"`
}

// Transfer returns what the next coordinator has to know.
func (b *AccountBucket) Transfer(now time.Time) Transfer {
	b.refill(now)
	return Transfer{Level: b.level, Reserved: b.reservations.tokens(), Late: b.late.total}
}

// TakeOver applies what the previous coordinator hands over. What was taken from this bucket meanwhile comes out of that.
func (b *AccountBucket) TakeOver(now time.Time, t Transfer) {
	b.refill(now)
	b.withheld = withheldTokens{}
	b.reservations.add(now, t.Reserved)
	b.late.add(now, reportStream{}, max(t.Late, 0))
	b.level = min(t.Level-b.spent, b.capacity())
}

// maxDebt bounds how far below zero a level may fall beyond the burst, in requests.
const maxDebt = 50

// BucketState is the reply of a coordinator to a report of an instance.
type BucketState struct {
	// Granted is how many of the asked requests may run.
	Granted int `json:"granted,omitempty"`
	// Reserved is how many further requests the instance may admit before it reports them.
	Reserved int `json:"reserved,omitempty"`
	// Late means that the granted requests may be used up to LateGrantTTL after the report was sent.
	Late bool `json:"late,omitempty"`
	// Level is how full the bucket is with what is reserved, as a fraction of the burst; negative if more was spent than was available.
	Level float64 `json:"level"`
	// NextMillis is how long it takes until the next token is available, in milliseconds.
	NextMillis int64 `json:"next,omitempty"`
}
