package idempotency

import (
	"strconv"
	"time"

	"amaranthstile/result"
)

const (
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
)

// StepKind is the kind of a Claimer's next step.
type StepKind int

// The kinds of steps.
const (
	// StepAsk asks a replica for the key. Its response goes to HandleReply, or nil if none came.
	StepAsk StepKind = iota
	// StepWait waits before the next step.
	StepWait
	// StepRun runs the request, because a majority granted the key. It is a final step.
	StepRun
	// StepReplay replays the recorded response. It is a final step.
	StepReplay
	// StepRefuse refuses the request with Err. It is a final step.
	StepRefuse
)

// Step is what the user of a Claimer has to do next.
type Step struct {
	Kind StepKind
	// Replica is the index of the replica to ask.
	Replica int
	// RoundID identifies the round in the request to the replica, and after StepRun in the settlement.
	RoundID string
	Wait    time.Duration
	Record  *Record
	Err     error
	// Release lists the replicas that must be informed, before the step, that a round was not run.
	Release []Release
}

// Release gives back the grant that a round of an attempt may have received from a replica.
type Release struct {
	Replica int
	RoundID string
}

// Claimer asks the replicas of a key one after the other on behalf of one attempt. It is a plain state machine: Next
// returns the next step, and HandleReply takes a replica's response.
//
// Each round has an ID of its own. Therefore a release, however late it arrives, never revokes a grant that the
// attempt still relies on.
type Claimer struct {
	key       Key
	attemptID string
	deadline  time.Time
	jitter    func() float64

	round       int
	nextReplica int
	grants      int
	cannotGrant int
	overdue     bool
	backoff     time.Duration
	releases    []Release
	final       *Step
	mustWait    bool
}

// NewClaimer returns a claimer of a key. The attempt ID must be unique; jitter returns numbers from 0 to 1.
func NewClaimer(k Key, attemptID string, deadline time.Time, jitter func() float64) *Claimer {
	return &Claimer{key: k, attemptID: attemptID, deadline: deadline, jitter: jitter, backoff: initialBackoff}
}

// roundID returns the ID of the current round.
func (c *Claimer) roundID() string { return c.attemptID + "#" + strconv.Itoa(c.round) }

// Next returns the next step.
func (c *Claimer) Next(now time.Time) Step {
	s := c.step(now)
	s.Release = c.releases
	c.releases = nil
	return s
}

func (c *Claimer) step(now time.Time) Step {
	if c.final != nil {
		return *c.final
	}
	if !now.Before(c.deadline) {
		c.releaseRound()
		return *c.finish(Step{
			Kind: StepRefuse,
			Err:  unknownError(result.MayHaveRun, "the key's replicas did not decide before the deadline"),
		})
	}
	if c.mustWait {
		c.mustWait = false
		wait := time.Duration(float64(c.backoff) * (0.5 + c.jitter()/2))
		c.backoff = min(2*c.backoff, maxBackoff)
		return Step{Kind: StepWait, Wait: min(wait, c.deadline.Sub(now))}
	}
	return Step{Kind: StepAsk, Replica: c.nextReplica, RoundID: c.roundID()}
}

func unknownError(run result.RunStatus, text string) error {
	return result.WithRun(result.New(result.IdempotencyUnknown, "%s", text), run)
}

// finish sets the final step.
func (c *Claimer) finish(s Step) *Step {
	c.final = &s
	return c.final
}

// refuse ends the attempt without a run.
func (c *Claimer) refuse(err error) {
	c.releaseRound()
	c.finish(Step{Kind: StepRefuse, Err: err})
}

// releaseRound releases every grant that the current round received or may have received.
func (c *Claimer) releaseRound() {
	for replica := range min(c.nextReplica+1, len(c.key.Replicas)) {
		c.releases = append(c.releases, Release{Replica: replica, RoundID: c.roundID()})
	}
}

// HandleReply takes the response of the replica that was asked, or nil if none came in time.
func (c *Claimer) HandleReply(resp *ClaimResponse) {
	if c.final != nil {
		return
	}
	state := KeyState("")
	if resp != nil {
		state = resp.State
	}
	switch state {
	case Granted:
		c.grants++
	case Done:
		c.replay(resp.Record)
	case Mismatch:
		c.refuse(mismatchError(result.MayHaveRun))
	case MismatchDone:
		c.refuse(mismatchError(result.NotRun))
	case Unknown:
		c.refuse(unknownError(result.MayHaveRun, "an earlier attempt may have run"))
	case Running:
		c.startNextRound()
		return
	case Overdue:
		c.overdue = true
	case CannotGrant:
		c.cannotGrant++
	}
	c.advance()
}

func mismatchError(run result.RunStatus) error {
	return result.WithRun(result.New(result.IdempotencyMismatch, "the key was used with another request"), run)
}

// replay ends the attempt with the response of an earlier attempt.
func (c *Claimer) replay(r *Record) {
	if r == nil {
		c.refuse(unknownError(result.Ran, "an earlier attempt ran; its response was not kept"))
		return
	}
	c.releaseRound()
	c.finish(Step{Kind: StepReplay, Record: r})
}

// advance selects the next replica, or ends the round.
func (c *Claimer) advance() {
	if c.final != nil {
		return
	}
	if c.grants >= c.key.majority() {
		c.finish(Step{Kind: StepRun, RoundID: c.roundID()})
		return
	}
	replicas := len(c.key.Replicas)
	if c.cannotGrant > replicas-c.key.majority() {
		c.refuse(unknownError(result.MayHaveRun, "most replicas of the key can no longer grant it"))
		return
	}
	if c.nextReplica+1 < replicas {
		c.nextReplica++
		return
	}
	if c.overdue {
		c.refuse(unknownError(result.MayHaveRun, "an earlier attempt may have run"))
		return
	}
	c.startNextRound()
}

// startNextRound ends the current round and begins the next one after a backoff.
func (c *Claimer) startNextRound() {
	c.releaseRound()
	c.round++
	c.nextReplica, c.grants, c.cannotGrant, c.overdue = 0, 0, 0, false
	c.mustWait = true
}
