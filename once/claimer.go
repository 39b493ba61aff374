package once

import (
	"strconv"
	"time"

	"amaranthstile/result"
)

const (
	firstWait = 10 * time.Millisecond
	maxWait   = 200 * time.Millisecond
)

// StepKind says what a Claimer wants next.
type StepKind int

// The steps.
const (
	// StepAsk a home for the key and give its answer to Reply, or nil if none came.
	StepAsk StepKind = iota
	// StepWait, then go on.
	StepWait
	// StepRun the request: a majority granted the key. Last step.
	StepRun
	// StepReplay the recorded answer. Last step.
	StepReplay
	// StepRefuse the request with Err. Last step.
	StepRefuse
)

// Step is what a Claimer wants next.
type Step struct {
	Kind StepKind
	// Replica is the home to ask.
	Replica int
	// RoundID is the name to ask with, and after Run the one to settle with.
	RoundID string
	Wait    time.Duration
	Record  *Record
	Err     error
	// Release are homes to tell, before the step, that a round was not run.
	Release []Release
}

// Release gives back what a round of a try may have been granted.
type Release struct {
	Replica int
	RoundID string
}

// Claimer asks the homes of a key, one after the other, on behalf of one try. It is a plain state machine: Next
// says what to do, Reply takes a home's answer.
//
// Each round has a name of its own: a grant that is released, however late the message comes, is never one that
// the try still counts on.
type Claimer struct {
	key      Key
	name     string
	deadline time.Time
	jitter   func() float64

	round    int
	next     int
	granted  int
	stale    int
	overdue  bool
	waits    time.Duration
	releases []Release
	last     *Step
	pause    bool
}

// NewClaimer returns a claimer of a key. No other try ever has the same name; jitter returns numbers from 0 to 1.
func NewClaimer(k Key, name string, deadline time.Time, jitter func() float64) *Claimer {
	return &Claimer{key: k, name: name, deadline: deadline, jitter: jitter, waits: firstWait}
}

// try is the name of the present round.
func (c *Claimer) try() string { return c.name + "#" + strconv.Itoa(c.round) }

// Next returns the next step.
func (c *Claimer) Next(now time.Time) Step {
	s := c.step(now)
	s.Release = c.releases
	c.releases = nil
	return s
}

func (c *Claimer) step(now time.Time) Step {
	if c.last != nil {
		return *c.last
	}
	if !now.Before(c.deadline) {
		c.giveUp()
		return *c.end(Step{Kind: StepRefuse, Err: unknown(result.MayHaveRun, "the homes of the key gave no word in time")})
	}
	if c.pause {
		c.pause = false
		wait := time.Duration(float64(c.waits) * (0.5 + c.jitter()/2))
		c.waits = min(2*c.waits, maxWait)
		return Step{Kind: StepWait, Wait: min(wait, c.deadline.Sub(now))}
	}
	return Step{Kind: StepAsk, Replica: c.next, RoundID: c.try()}
}

func unknown(run result.RunStatus, text string) error {
	return result.WithRun(result.New(result.IdempotencyUnknown, "%s", text), run)
}

// end fixes the last step.
func (c *Claimer) end(s Step) *Step {
	c.last = &s
	return c.last
}

// refuse ends the try without a run.
func (c *Claimer) refuse(err error) {
	c.giveUp()
	c.end(Step{Kind: StepRefuse, Err: err})
}

// giveUp releases what the round was or may have been granted.
func (c *Claimer) giveUp() {
	for home := range min(c.next+1, len(c.key.Replicas)) {
		c.releases = append(c.releases, Release{Replica: home, RoundID: c.try()})
	}
}

// HandleReply takes the answer of the home that was asked, nil if none came in time.
func (c *Claimer) HandleReply(a *ClaimResponse) {
	if c.last != nil {
		return
	}
	state := KeyState("")
	if a != nil {
		state = a.State
	}
	switch state {
	case Granted:
		c.granted++
	case Done:
		c.done(a.Record)
	case Mismatch:
		c.refuse(mismatch(result.MayHaveRun))
	case MismatchDone:
		c.refuse(mismatch(result.NotRun))
	case Unknown:
		c.refuse(unknown(result.MayHaveRun, "an earlier try may have run"))
	case Running:
		c.again()
		return
	case Overdue:
		c.overdue = true
	case CannotGrant:
		c.stale++
	}
	c.advance()
}

func mismatch(run result.RunStatus) error {
	return result.WithRun(result.New(result.IdempotencyMismatch, "the key was used with another request"), run)
}

// done replays what an earlier try was answered.
func (c *Claimer) done(r *Record) {
	if r == nil {
		c.refuse(unknown(result.Ran, "an earlier try ran; its answer was not kept"))
		return
	}
	c.giveUp()
	c.end(Step{Kind: StepReplay, Record: r})
}

// advance goes on to the next home, or ends the round.
func (c *Claimer) advance() {
	if c.last != nil {
		return
	}
	if c.granted >= c.key.majority() {
		c.end(Step{Kind: StepRun, RoundID: c.try()})
		return
	}
	homes := len(c.key.Replicas)
	if c.stale > homes-c.key.majority() {
		c.refuse(unknown(result.MayHaveRun, "most homes of the key can't speak for it any more"))
		return
	}
	if c.next+1 < homes {
		c.next++
		return
	}
	if c.overdue {
		c.refuse(unknown(result.MayHaveRun, "an earlier try may have run"))
		return
	}
	c.again()
}

// again ends the round and begins the next one after a pause.
func (c *Claimer) again() {
	c.giveUp()
	c.round++
	c.next, c.granted, c.stale, c.overdue = 0, 0, 0, false
	c.pause = true
}
