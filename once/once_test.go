package once

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

// fault is a planted mistake of the protocol.
type fault string

const (
	none          fault = ""
	minority      fault = "one home is enough"
	forgetful     fault = "a home restarts under its old identity"
	sameRound     fault = "rounds share one name"
	anyRelease    fault = "a home releases whatever is claimed"
	lostIsRelease fault = "a try that may have run is released"
	noGeneration  fault = "a home that forgot a generation still grants its keys"
	claimedTwice  fault = "a home grants a claimed key once it is overdue"
	unsealed      fault = "a home goes on while it is handed over"
	twoSuccessors fault = "a second successor is tried after a commit"
	comesAgain    fault = "a home that was here before is taken over again"
)

// world is one key, its homes and its tries, with every message on its way until it is chosen.
type world struct {
	choose   func(n int) int
	fault    fault
	now      time.Time
	key      Key
	hosts    []*ReplicaHost // nil once lost
	moves    []*move
	tries    []*tryState
	messages []func()
	runs     map[string]int // by content
	told     map[string]result.RunStatus
}

type tryState struct {
	claimer *Claimer
	digest  string
	asked   int // number of the ask that is open, 0 for none
	asks    int
	ended   bool
}

// spares is how many instances are no homes of the key.
const spares = 2

func newWorld(choose func(n int) int, f fault) *world {
	w := &world{choose: choose, fault: f, now: time.Unix(0, 0), runs: make(map[string]int), told: make(map[string]result.RunStatus)}
	var refs []ReplicaRef
	for i := range MaxReplicas + spares {
		id := fmt.Sprintf("h%d", i)
		w.hosts = append(w.hosts, NewReplicaHost(id, w.now))
		if i < MaxReplicas {
			refs = append(refs, ReplicaRef{ID: id})
		}
	}
	w.key, _ = ParseKey(KeyPrefix(refs) + "k")
	return w
}

func (w *world) addTry() {
	k := w.key
	if w.fault == minority {
		k.Replicas = k.Replicas[:1+w.choose(3)]
		k.Replicas = k.Replicas[len(k.Replicas)-1:]
	}
	digest := "content"
	if w.choose(5) == 0 {
		digest = "other content"
	}
	c := NewClaimer(k, fmt.Sprintf("t%d", len(w.tries)), w.now.Add(time.Minute), func() float64 { return 0.5 })
	w.tries = append(w.tries, &tryState{claimer: c, digest: digest})
}

// place returns an instance that is asked for a home: mostly one that has it, nil if it is lost.
func (w *world) place(home string) *ReplicaHost {
	if w.choose(6) == 0 {
		return w.hosts[w.choose(len(w.hosts))]
	}
	start := w.choose(len(w.hosts))
	for i := range w.hosts {
		if h := w.hosts[(start+i)%len(w.hosts)]; h != nil && h.homes[home] != nil {
			return h
		}
	}
	return nil
}

func (w *world) name(try string) string {
	if w.fault == sameRound {
		try, _, _ = strings.Cut(try, "#")
	}
	return try
}

func (w *world) claim(host *ReplicaHost, call ClaimRequest) ClaimResponse {
	h := host.homes[call.Replica]
	if h == nil {
		return host.Claim(w.now, call)
	}
	id := claimID{call.Account, call.Key}
	if c := h.claims[id]; w.fault == claimedTwice && c != nil && w.now.After(c.until) {
		delete(h.claims, id)
	}
	if w.fault == noGeneration && h.Generation(w.now) >= generations {
		h.born, h.oldest = w.now, 0
	}
	return host.Claim(w.now, call)
}

func (w *world) settle(host *ReplicaHost, t *tryState, home int, try string, o Outcome) {
	id := t.claimer.key.Replicas[home].ID
	h := host.homes[id]
	if h == nil {
		return
	}
	if w.fault == lostIsRelease && o == MayHaveRun {
		o = Released
	}
	if c := h.claims[claimID{"", w.key.Text}]; w.fault == anyRelease && c != nil && o == Released {
		try = c.try
	}
	host.Settle(w.now, SettleRequest{Replica: id, Key: w.key.Text, Digest: t.digest, RoundID: try, Outcome: o, Record: &Record{Status: 200}})
}

// send puts a message to a home on its way; it may come once, twice or never.
func (w *world) send(t *tryState, home int, deliver func(h *ReplicaHost)) {
	w.post(func() *ReplicaHost { return w.place(t.claimer.key.Replicas[home].ID) }, deliver)
}

func (w *world) post(to func() *ReplicaHost, deliver func(h *ReplicaHost)) {
	for range []int{1, 1, 1, 2}[w.choose(4)] {
		w.messages = append(w.messages, func() {
			if h := to(); h != nil {
				deliver(h)
			}
		})
	}
}

// move is the handing over of a home.
type move struct {
	id        string
	home      *Replica
	transfers int
	committed bool
}

// beginMove seals a home, if there is one at a chosen instance.
func (w *world) beginMove() {
	h := w.hosts[w.choose(len(w.hosts))]
	if h == nil || len(h.homes) == 0 {
		return
	}
	ids := h.ReplicaIDs()
	slices.Sort(ids)
	m := &move{id: ids[w.choose(len(ids))]}
	m.home = h.homes[m.id]
	if w.fault != unsealed {
		h.Seal(m.id)
	}
	w.moves = append(w.moves, m)
	w.transfer(m)
}

// transfer sends a home's state to a chosen successor, unless another one has all of it.
func (w *world) transfer(m *move) {
	if m.committed && w.fault != twoSuccessors {
		return
	}
	m.transfers++
	n := m.transfers
	to := w.choose(len(w.hosts))
	successor := func() *ReplicaHost { return w.hosts[to] }
	part := m.home.export(w.now, fmt.Sprint(len(w.moves), "-", n))[0]
	w.post(successor, func(h *ReplicaHost) {
		if w.fault == comesAgain {
			delete(h.known, m.id)
		}
		if !h.Part(part).Accepted || m.transfers != n && w.fault != twoSuccessors {
			return
		}
		m.committed = true
		w.post(successor, func(h *ReplicaHost) {
			if w.fault == comesAgain && h.arriving[m.id] != nil {
				delete(h.homes, m.id)
			}
			h.Commit(w.now, CommitRequest{Replica: m.id, TransferID: part.TransferID, Parts: 1})
		})
	})
}

// step lets a try go on.
func (w *world) step(t *tryState) {
	if t.ended {
		return
	}
	if t.asked != 0 {
		t.asked = 0
		t.claimer.HandleReply(nil) // no answer in time, though the message may still come
		return
	}
	s := t.claimer.Next(w.now)
	for _, r := range s.Release {
		w.send(t, r.Replica, func(h *ReplicaHost) { w.settle(h, t, r.Replica, w.name(r.RoundID), Released) })
	}
	switch s.Kind {
	case StepAsk:
		w.ask(t, s)
	case StepWait:
		w.now = w.now.Add(s.Wait)
	case StepRun:
		t.ended = true
		w.messages = append(w.messages, func() { w.run(t, s.RoundID) }) // a pause before the run
	case StepReplay:
		t.ended = true
		w.told[t.digest] = result.Ran
	case StepRefuse:
		t.ended = true
		w.tell(t, result.RunOf(s.Err))
	}
}

func (w *world) ask(t *tryState, s Step) {
	t.asks++
	n := t.asks
	t.asked = n
	call := ClaimRequest{Replica: t.claimer.key.Replicas[s.Replica].ID, Key: w.key.Text, Digest: t.digest, RoundID: w.name(s.RoundID), TimeoutMillis: 1000}
	w.send(t, s.Replica, func(h *ReplicaHost) {
		a := w.claim(h, call)
		w.messages = append(w.messages, func() {
			if t.asked == n && !t.ended && a.State != NotHosted {
				t.asked = 0
				t.claimer.HandleReply(&a)
			}
		})
	})
}

// run ends a try that has its key: not run, run without an answer, or run.
func (w *world) run(t *tryState, try string) {
	o := []Outcome{Released, MayHaveRun, Ran, Ran}[w.choose(4)]
	if o != Released {
		w.runs[t.digest]++
	} else {
		w.tell(t, result.NotRun)
	}
	for i := range t.claimer.key.Replicas {
		w.send(t, i, func(h *ReplicaHost) { w.settle(h, t, i, w.name(try), o) })
	}
}

func (w *world) tell(t *tryState, run result.RunStatus) {
	if run == result.NotRun && w.runs[t.digest] > 0 {
		w.told[t.digest] = "a false not-run"
	}
}

// lose ends the process of an instance, or restarts it under its identity as no real one does.
func (w *world) lose() {
	i := w.choose(len(w.hosts))
	w.hosts[i] = nil
	if w.fault == forgetful {
		w.hosts[i] = NewReplicaHost(fmt.Sprintf("h%d", i), time.Unix(0, 0))
	}
}

// answeredTwice finds a home that two instances answer for.
func (w *world) answeredTwice() (home string, found bool) {
	seen := make(map[string]bool)
	for _, h := range w.hosts {
		if h == nil {
			continue
		}
		for id := range h.homes {
			if seen[id] {
				return id, true
			}
			seen[id] = true
		}
	}
	return "", false
}

// event makes one thing happen; moves is how often homes are handed over.
func (w *world) event(moves int) {
	switch n := w.choose(40); {
	case n == 0 && len(w.tries) < 5:
		w.addTry()
	case n == 1 && w.choose(2) == 0:
		w.lose()
	case n == 2:
		w.now = w.now.Add(5 * time.Second)
	case n == 3 && w.choose(4) == 0:
		w.now = w.now.Add(generations * generationTime)
	case n >= 4 && n < 4+moves:
		w.beginMove()
	case n >= 8 && n < 8+moves && len(w.moves) > 0:
		w.transfer(w.moves[w.choose(len(w.moves))])
	case n < 20 || len(w.messages) == 0:
		w.step(w.tries[w.choose(len(w.tries))])
	default:
		w.deliver()
	}
}

// deliver takes any message on its way; some are lost.
func (w *world) deliver() {
	i := w.choose(len(w.messages))
	m := w.messages[i]
	w.messages = append(w.messages[:i], w.messages[i+1:]...)
	if w.choose(12) != 0 {
		m()
	}
}

// check reports what is broken.
func (w *world) check() error {
	if runs := w.runs["content"] + w.runs["other content"]; runs > 1 {
		return fmt.Errorf("%d runs", runs)
	}
	if home, ok := w.answeredTwice(); ok {
		return fmt.Errorf("two instances answer for home %s", home)
	}
	for digest, told := range w.told {
		if told != result.Ran || w.runs[digest] == 0 {
			return fmt.Errorf("told %q, %d runs", told, w.runs[digest])
		}
	}
	return nil
}

// history makes one history and reports what was broken in it.
func history(choose func(n int) int, f fault) error {
	w := newWorld(choose, f)
	w.addTry()
	moves := []int{0, 1, 4}[choose(3)]
	for range 120 {
		w.event(moves)
		if err := w.check(); err != nil {
			return err
		}
	}
	return nil
}

func TestTriesRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(r, "choice") }
		if err := history(choose, none); err != nil {
			r.Fatal(err)
		}
	})
	for seed := range uint64(20_000) {
		if err := history(rand.New(rand.NewPCG(seed, 1)).IntN, none); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

func TestPlantedFaultsAreFound(t *testing.T) {
	for _, f := range []fault{minority, forgetful, sameRound, anyRelease, lostIsRelease, noGeneration, claimedTwice, unsealed, twoSuccessors, comesAgain} {
		t.Run(string(f), func(t *testing.T) {
			for seed := range uint64(200_000) {
				if err := history(rand.New(rand.NewPCG(seed, 1)).IntN, f); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("not found")
		})
	}
}

func TestFirstTryOfAFreshKeyRuns(t *testing.T) {
	for lost := range MaxReplicas + 1 { // with any single home lost
		is := is.New(t)
		w := newWorld(func(int) int { return 1 }, none)
		w.addTry()
		if lost < MaxReplicas {
			w.hosts[lost] = nil
		}
		for i := 0; i < 50 && !w.tries[0].ended; i++ {
			w.step(w.tries[0])
			for len(w.messages) > 0 && !w.tries[0].ended {
				m := w.messages[0]
				w.messages = w.messages[1:]
				m()
			}
		}
		is.True(w.tries[0].ended)
		is.Equal(w.tries[0].claimer.last.Kind, StepRun)
	}
}

func TestHandedOverHomeIsTheSame(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	from, to := NewReplicaHost("h", now), NewReplicaHost("s", now)
	prefix := KeyPrefix([]ReplicaRef{{ID: "h"}})
	for i := range 3000 {
		call := ClaimRequest{Replica: "h", Key: fmt.Sprint(prefix, i), RoundID: "t", TimeoutMillis: 60_000}
		is.Equal(from.Claim(now, call).State, Granted)
		if i%2 == 0 {
			from.Settle(now, SettleRequest{Replica: "h", Key: call.Key, RoundID: "t", Outcome: Ran, Record: &Record{Status: i, Body: make([]byte, 2000)}})
		}
	}
	now = now.Add(90 * time.Minute)
	parts := from.Seal("h").export(now, "x")
	is.True(len(parts) > 2)
	for _, p := range parts[1:] {
		is.True(to.Part(p).Accepted)
	}
	commit := CommitRequest{Replica: "h", TransferID: "x", Parts: len(parts)}
	is.True(!to.Commit(now, commit).Accepted) // a part is missing
	is.True(to.Part(parts[0]).Accepted)
	is.True(to.Commit(now, commit).Accepted)
	is.True(to.Commit(now, commit).Accepted) // the answer was lost
	is.True(!to.Part(parts[0]).Accepted)     // it does not come again
	is.Equal(from.Claim(now, ClaimRequest{Replica: "h"}).State, NotHosted)
	is.Equal(to.homes["h"].Generation(now), uint64(1))
	for i := range 3000 {
		a := to.Claim(now, ClaimRequest{Replica: "h", Key: fmt.Sprint(prefix, i), RoundID: "u"})
		if i%2 == 0 {
			is.Equal(a.Record.Status, i)
		} else {
			is.Equal(a.State, Overdue)
		}
	}
	to.Expire(now.Add(generations * generationTime))
	is.Equal(to.ReplicaIDs(), []string{"s"})
}

func TestHomeIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	h := NewReplica("h", now)
	prefix := KeyPrefix([]ReplicaRef{{ID: "h"}})
	big := &Record{Body: make([]byte, MaxRecordBytes)}
	for i := range maxClaims + 10 {
		call := ClaimRequest{Replica: "h", Key: fmt.Sprint(prefix, i), RoundID: "t"}
		state := h.Claim(now, call).State
		is.Equal(state == Granted, i < maxClaims)
		h.Settle(now, SettleRequest{Replica: "h", Key: call.Key, RoundID: "t", Outcome: Ran, Record: big})
		if i == maxClaims/2 {
			is.Equal(h.Claim(now, call).Record, big) // kept
		}
	}
	is.True(h.Stats(now).RecordBytes <= maxRecords)
	is.Equal(h.Claim(now, ClaimRequest{Replica: "h", Key: prefix + "0", RoundID: "u"}), ClaimResponse{State: Done}) // the record is gone, the claim is not
	now = now.Add(generations * generationTime)
	is.Equal(h.Stats(now), ReplicaStats{Generation: generations})
	is.Equal(h.Claim(now, ClaimRequest{Replica: "h", Key: prefix + "0", RoundID: "u"}).State, CannotGrant)
}

func TestKeysAreParsed(t *testing.T) {
	is := is.New(t)
	homes := []ReplicaRef{{"aa", 0}, {"bb", 35}, {"cc", 36}}
	k, err := ParseKey(KeyPrefix(homes) + "mine.too")
	is.NoErr(err)
	is.Equal(k.Replicas, homes)
	for _, bad := range []string{
		"", "uuid", "a1.aa-0.", "a1..x", "a2.aa-0.x", "a1.aa-0_aa-0.x", "a1.aa-0_bb-0_cc-0_dd-0.x", "a1.aa.x", "a1.aa--1.x", "a1.-0.x",
		"a1.aa-0." + strings.Repeat("x", MaxKeyBytes),
	} {
		_, err := ParseKey(bad)
		is.Equal(result.CodeOf(err), result.IdempotencyKeyForm)
	}
}

func FuzzParseKey(f *testing.F) {
	for _, seed := range []string{"a1.aa-0_bb-z_cc-10.mine", "a1.aa-0.", "a1..x", "a1.aa-0_aa-0.x", "a1.a-3w5e11264sgsf.x", "a1.a-3w5e11264sgsg.x"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		k, err := ParseKey(text)
		if err != nil {
			return
		}
		again, err := ParseKey(KeyPrefix(k.Replicas) + "x")
		if err != nil || !slices.Equal(again.Replicas, k.Replicas) || len(k.Replicas) > MaxReplicas || k.Text != text {
			t.Errorf("%q: %v, then %v, %v", text, k, again, err)
		}
	})
}
