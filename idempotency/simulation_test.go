package idempotency

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthstile/result"
)

// fault is a deliberate violation of the protocol that the test must detect.
type fault string

const (
	none              fault = ""
	minority          fault = "one replica is enough"
	forgetful         fault = "a replica restarts under its old identity"
	sharedRoundID     fault = "rounds share one ID"
	releaseAnyRound   fault = "a replica releases the grant of any round"
	releaseAfterRun   fault = "an attempt that may have run is released"
	generationIgnored fault = "a replica that forgot a generation still grants its keys"
	overdueRegranted  fault = "a replica grants a key again once its grant is overdue"
	unsealed          fault = "a replica keeps responding while it is handed over"
	twoSuccessors     fault = "a second successor is tried after a commit"
	hostedAgain       fault = "a host accepts a replica that it hosted before"
)

// simulation is one key with its replicas and its attempts. Each message stays pending until it is chosen.
type simulation struct {
	choose   func(n int) int
	fault    fault
	now      time.Time
	key      Key
	hosts    []*ReplicaHost // nil after the instance was lost
	moves    []*move
	attempts []*attempt
	messages []func()
	runs     map[string]int // by digest
	reported map[string]result.RunStatus
}

type attempt struct {
	claimer    *Claimer
	digest     string
	pendingAsk int // number of the pending request to a replica, 0 for none
	asks       int
	ended      bool
}

// spares is how many instances are not replicas of the key.
const spares = 2

func newSimulation(choose func(n int) int, f fault) *simulation {
	sim := &simulation{
		choose: choose, fault: f, now: time.Unix(0, 0),
		runs: make(map[string]int), reported: make(map[string]result.RunStatus),
	}
	var refs []ReplicaRef
	for i := range MaxReplicas + spares {
		id := fmt.Sprintf("h%d", i)
		sim.hosts = append(sim.hosts, NewReplicaHost(id, sim.now))
		if i < MaxReplicas {
			refs = append(refs, ReplicaRef{ID: id})
		}
	}
	sim.key, _ = ParseKey(KeyPrefix(refs) + "k")
	return sim
}

func (sim *simulation) addAttempt() {
	k := sim.key
	if sim.fault == minority {
		k.Replicas = k.Replicas[:1+sim.choose(3)]
		k.Replicas = k.Replicas[len(k.Replicas)-1:]
	}
	digest := "content"
	if sim.choose(5) == 0 {
		digest = "other content"
	}
	c := NewClaimer(k, fmt.Sprintf("t%d", len(sim.attempts)), sim.now.Add(time.Minute), func() float64 { return 0.5 })
	sim.attempts = append(sim.attempts, &attempt{claimer: c, digest: digest})
}

// hostOf returns an instance that receives a message for a replica. Mostly it is one that hosts the replica, or nil if
// there is none; sometimes it is any instance, which may be lost.
func (sim *simulation) hostOf(replica string) *ReplicaHost {
	if sim.choose(6) == 0 {
		return sim.hosts[sim.choose(len(sim.hosts))]
	}
	start := sim.choose(len(sim.hosts))
	for i := range sim.hosts {
		if h := sim.hosts[(start+i)%len(sim.hosts)]; h != nil && h.replicas[replica] != nil {
			return h
		}
	}
	return nil
}

func (sim *simulation) roundID(id string) string {
	if sim.fault == sharedRoundID {
		id, _, _ = strings.Cut(id, "#")
	}
	return id
}

func (sim *simulation) claim(host *ReplicaHost, req ClaimRequest) ClaimResponse {
	r := host.replicas[req.Replica]
	if r == nil {
		return host.Claim(sim.now, req)
	}
	id := grantID{req.Account, req.Key}
	if g := r.grants[id]; sim.fault == overdueRegranted && g != nil && sim.now.After(g.overdueAt) {
		delete(r.grants, id)
	}
	if sim.fault == generationIgnored && r.Generation(sim.now) >= keptGenerations {
		r.createdAt, r.oldestGeneration = sim.now, 0
	}
	return host.Claim(sim.now, req)
}

func (sim *simulation) settle(host *ReplicaHost, a *attempt, replica int, roundID string, o Outcome) {
	id := a.claimer.key.Replicas[replica].ID
	r := host.replicas[id]
	if r == nil {
		return
	}
	if sim.fault == releaseAfterRun && o == MayHaveRun {
		o = Released
	}
	if g := r.grants[grantID{"", sim.key.Text}]; sim.fault == releaseAnyRound && g != nil && o == Released {
		roundID = g.roundID
	}
	host.Settle(sim.now, SettleRequest{
		Replica: id, Key: sim.key.Text, Digest: a.digest, RoundID: roundID, Outcome: o, Record: &Record{Status: 200},
	})
}

// send sends a message to a replica; it may arrive once, twice or never.
func (sim *simulation) send(a *attempt, replica int, deliver func(h *ReplicaHost)) {
	sim.post(func() *ReplicaHost { return sim.hostOf(a.claimer.key.Replicas[replica].ID) }, deliver)
}

func (sim *simulation) post(to func() *ReplicaHost, deliver func(h *ReplicaHost)) {
	for range []int{1, 1, 1, 2}[sim.choose(4)] {
		sim.messages = append(sim.messages, func() {
			if h := to(); h != nil {
				deliver(h)
			}
		})
	}
}

// move is the hand-over of a replica.
type move struct {
	id        string
	replica   *Replica
	transfers int
	committed bool
}

// beginMove seals a replica of a chosen instance, if that hosts any.
func (sim *simulation) beginMove() {
	h := sim.hosts[sim.choose(len(sim.hosts))]
	if h == nil || len(h.replicas) == 0 {
		return
	}
	ids := h.ReplicaIDs()
	slices.Sort(ids)
	m := &move{id: ids[sim.choose(len(ids))]}
	m.replica = h.replicas[m.id]
	if sim.fault != unsealed {
		h.Seal(m.id)
	}
	sim.moves = append(sim.moves, m)
	sim.transfer(m)
}

// transfer sends a replica's state to a chosen successor, unless another successor already has all of it.
func (sim *simulation) transfer(m *move) {
	if m.committed && sim.fault != twoSuccessors {
		return
	}
	m.transfers++
	n := m.transfers
	to := sim.choose(len(sim.hosts))
	successor := func() *ReplicaHost { return sim.hosts[to] }
	part := m.replica.export(sim.now, fmt.Sprint(len(sim.moves), "-", n))[0]
	sim.post(successor, func(h *ReplicaHost) {
		if sim.fault == hostedAgain {
			delete(h.everHosted, m.id)
		}
		if !h.Part(part).Accepted || m.transfers != n && sim.fault != twoSuccessors {
			return
		}
		m.committed = true
		sim.post(successor, func(h *ReplicaHost) {
			if sim.fault == hostedAgain && h.incoming[m.id] != nil {
				delete(h.replicas, m.id)
			}
			h.Commit(sim.now, CommitRequest{Replica: m.id, TransferID: part.TransferID, Parts: 1})
		})
	})
}

// step executes the next step of an attempt.
func (sim *simulation) step(a *attempt) {
	if a.ended {
		return
	}
	if a.pendingAsk != 0 {
		a.pendingAsk = 0
		a.claimer.HandleReply(nil) // no response in time, but the request may still be delivered
		return
	}
	s := a.claimer.Next(sim.now)
	for _, r := range s.Release {
		sim.send(a, r.Replica, func(h *ReplicaHost) { sim.settle(h, a, r.Replica, sim.roundID(r.RoundID), Released) })
	}
	switch s.Kind {
	case StepAsk:
		sim.ask(a, s)
	case StepWait:
		sim.now = sim.now.Add(s.Wait)
	case StepRun:
		a.ended = true
		sim.messages = append(sim.messages, func() { sim.run(a, s.RoundID) }) // a delay before the run
	case StepReplay:
		a.ended = true
		sim.reported[a.digest] = result.Ran
	case StepRefuse:
		a.ended = true
		sim.checkNotRun(a, result.RunOf(s.Err))
	}
}

func (sim *simulation) ask(a *attempt, s Step) {
	a.asks++
	n := a.asks
	a.pendingAsk = n
	req := ClaimRequest{
		Replica: a.claimer.key.Replicas[s.Replica].ID, Key: sim.key.Text, Digest: a.digest,
		RoundID: sim.roundID(s.RoundID), TimeoutMillis: 1000,
	}
	sim.send(a, s.Replica, func(h *ReplicaHost) {
		resp := sim.claim(h, req)
		sim.messages = append(sim.messages, func() {
			if a.pendingAsk == n && !a.ended && resp.State != NotHosted {
				a.pendingAsk = 0
				a.claimer.HandleReply(&resp)
			}
		})
	})
}

// run ends an attempt that has its key: it did not run, ran without a response, or ran.
func (sim *simulation) run(a *attempt, roundID string) {
	o := []Outcome{Released, MayHaveRun, Ran, Ran}[sim.choose(4)]
	if o != Released {
		sim.runs[a.digest]++
	} else {
		sim.checkNotRun(a, result.NotRun)
	}
	for i := range a.claimer.key.Replicas {
		sim.send(a, i, func(h *ReplicaHost) { sim.settle(h, a, i, sim.roundID(roundID), o) })
	}
}

// checkNotRun records a violation if an attempt is reported as not run although a request with its digest ran.
func (sim *simulation) checkNotRun(a *attempt, run result.RunStatus) {
	if run == result.NotRun && sim.runs[a.digest] > 0 {
		sim.reported[a.digest] = "not-run, although it ran"
	}
}

// lose ends the process of an instance. With the fault forgetful it restarts the process under the same identity, which
// never happens in production.
func (sim *simulation) lose() {
	i := sim.choose(len(sim.hosts))
	sim.hosts[i] = nil
	if sim.fault == forgetful {
		sim.hosts[i] = NewReplicaHost(fmt.Sprintf("h%d", i), time.Unix(0, 0))
	}
}

// doublyHosted returns a replica that two instances host.
func (sim *simulation) doublyHosted() (replica string, found bool) {
	seen := make(map[string]bool)
	for _, h := range sim.hosts {
		if h == nil {
			continue
		}
		for id := range h.replicas {
			if seen[id] {
				return id, true
			}
			seen[id] = true
		}
	}
	return "", false
}

// event simulates one random event; moves sets how often replicas are handed over.
func (sim *simulation) event(moves int) {
	switch n := sim.choose(40); {
	case n == 0 && len(sim.attempts) < 5:
		sim.addAttempt()
	case n == 1 && sim.choose(2) == 0:
		sim.lose()
	case n == 2:
		sim.now = sim.now.Add(5 * time.Second)
	case n == 3 && sim.choose(4) == 0:
		sim.now = sim.now.Add(keptGenerations * generationDuration)
	case n >= 4 && n < 4+moves:
		sim.beginMove()
	case n >= 8 && n < 8+moves && len(sim.moves) > 0:
		sim.transfer(sim.moves[sim.choose(len(sim.moves))])
	case n < 20 || len(sim.messages) == 0:
		sim.step(sim.attempts[sim.choose(len(sim.attempts))])
	default:
		sim.deliver()
	}
}

// deliver delivers a random pending message; some are lost.
func (sim *simulation) deliver() {
	i := sim.choose(len(sim.messages))
	m := sim.messages[i]
	sim.messages = append(sim.messages[:i], sim.messages[i+1:]...)
	if sim.choose(12) != 0 {
		m()
	}
}

// check returns an error if a guarantee is violated.
func (sim *simulation) check() error {
	if runs := sim.runs["content"] + sim.runs["other content"]; runs > 1 {
		return fmt.Errorf("%d runs", runs)
	}
	if replica, ok := sim.doublyHosted(); ok {
		return fmt.Errorf("two instances host replica %s", replica)
	}
	for digest, status := range sim.reported {
		if status != result.Ran || sim.runs[digest] == 0 {
			return fmt.Errorf("reported run status %q, but %d runs", status, sim.runs[digest])
		}
	}
	return nil
}

// simulate simulates one random history and returns an error if it violates a guarantee.
func simulate(choose func(n int) int, f fault) error {
	sim := newSimulation(choose, f)
	sim.addAttempt()
	moves := []int{0, 1, 4}[choose(3)]
	for range 120 {
		sim.event(moves)
		if err := sim.check(); err != nil {
			return err
		}
	}
	return nil
}

func TestAttemptsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(r, "choice") }
		if err := simulate(choose, none); err != nil {
			r.Fatal(err)
		}
	})
	for seed := range uint64(20_000) {
		if err := simulate(rand.New(rand.NewPCG(seed, 1)).IntN, none); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

func TestProtocolFaultsAreDetected(t *testing.T) {
	for _, f := range []fault{
		minority, forgetful, sharedRoundID, releaseAnyRound, releaseAfterRun, generationIgnored, overdueRegranted,
		unsealed, twoSuccessors, hostedAgain,
	} {
		t.Run(string(f), func(t *testing.T) {
			for seed := range uint64(200_000) {
				if err := simulate(rand.New(rand.NewPCG(seed, 1)).IntN, f); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("fault not detected")
		})
	}
}

func TestFirstAttemptOfNewKeyRuns(t *testing.T) {
	for lost := range MaxReplicas + 1 { // with any single replica lost, and finally with none
		is := is.New(t)
		sim := newSimulation(func(int) int { return 1 }, none)
		sim.addAttempt()
		if lost < MaxReplicas {
			sim.hosts[lost] = nil
		}
		for i := 0; i < 50 && !sim.attempts[0].ended; i++ {
			sim.step(sim.attempts[0])
			for len(sim.messages) > 0 && !sim.attempts[0].ended {
				m := sim.messages[0]
				sim.messages = sim.messages[1:]
				m()
			}
		}
		is.True(sim.attempts[0].ended)
		is.Equal(sim.attempts[0].claimer.final.Kind, StepRun)
	}
}
