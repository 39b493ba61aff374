package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"amaranthstile/contract"
	"amaranthstile/event"
	"amaranthstile/internal/wait"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
)

// methodUsage tells a home what was spent and asks for more.
const methodUsage link.Method = "account.usage"

const (
	// usageTimeout bounds one call to a home: many times its usual answer, and a small part of a request's time.
	usageTimeout = 150 * time.Millisecond
	// homeRest is how long a home that did not answer is left alone; meanwhile each instance has its own part.
	homeRest = time.Second
	// instancesPerHome is how many instances share a home; more homes share the work of a larger fleet.
	instancesPerHome = 32
	// usageQueue bounds the requests that wait to be told to one home.
	usageQueue = 1024
	// unlimitedRate is the rate from which an account counts as one without a limit.
	unlimitedRate = 1e8
	// leastRetryAfter keeps callers that were refused from coming back at once, all together.
	leastRetryAfter = 200 * time.Millisecond
)

// usageCall is what an instance tells a home, by account.
type usageCall struct {
	// Home is whose count it is; another instance passes the call on, once.
	Home    membership.ID `json:"home"`
	From    membership.ID `json:"from"`
	Relayed bool          `json:"relayed,omitempty"`
	// Moved says that some of the accounts had another home before, as far as From knows.
	Moved    bool             `json:"moved,omitempty"`
	Accounts map[string]usage `json:"accounts"`
}

type usage struct {
	Spent int `json:"spent,omitempty"`
	Asked int `json:"asked,omitempty"`
	// Known is what the instance last heard of the account from another home.
	Known *contract.KnownLevel `json:"known,omitempty"`
}

type usageAnswer struct {
	Accounts map[string]contract.BucketState `json:"accounts"`
}

// allotments keeps each client account within its rate and burst over the whole fleet. It implements contract.Admitter.
type allotments struct {
	instance *Instance
	table    atomic.Pointer[homeTable]

	mu     sync.Mutex
	purses map[string]*contract.LocalLimiter  // by account
	pools  map[string]*contract.AccountBucket // of the accounts whose home this is
	homes  map[membership.ID]*home
	moves  contract.Takeover // of accounts to this home
	fleet  fleetSize
}

// home is what waits to be told to one home.
type home struct {
	id      membership.ID
	restTo  time.Time   // until when it is asked through other instances; guarded by allotments.mu
	lostTo  time.Time   // until when nothing reached it; guarded by allotments.mu
	waiting []*spending // guarded by allotments.mu
	calling bool        // guarded by allotments.mu
}

// spending is one request that is told to a home; answer is nil where it went already.
type spending struct {
	account string
	answer  chan spendingAnswer
}

type spendingAnswer struct {
	granted bool
	after   time.Duration
	err     error
}

func newAllotments(i *Instance) *allotments {
	return &allotments{
		instance: i,
		fleet:    fleetSize{span: 2 * i.bounds().QuotaWindow},
		purses:   make(map[string]*contract.LocalLimiter),
		pools:    make(map[string]*contract.AccountBucket),
		homes:    make(map[membership.ID]*home),
	}
}

// Admit implements contract.Admitter.
func (a *allotments) Admit(ctx context.Context, account *contract.Account) error {
	if account.Rate >= unlimitedRate {
		return nil
	}
	now := time.Now()
	id := a.homeOf(account.Name)
	a.mu.Lock()
	h := a.home(id)
	p := a.purse(account.Name)
	verdict, after := p.Admit(now, now.After(h.lostTo), a.share(now, account), rand.Float64())
	var s *spending
	switch verdict {
	case contract.SpendNow:
		s = &spending{account: account.Name}
	case contract.AskCoordinator:
		s = &spending{account: account.Name, answer: make(chan spendingAnswer, 1)}
	}
	if s != nil {
		a.tell(h, s)
	}
	a.mu.Unlock()
	switch verdict {
	case contract.Refuse:
		return a.refusal(account, after)
	case contract.AskCoordinator:
		return a.await(ctx, account, s)
	}
	return nil
}

func (a *allotments) refusal(account *contract.Account, after time.Duration) error {
	return result.WithRetryAfter(result.New(result.RateExceeded, "the rate and burst of %s are spent", account.Name), max(after, leastRetryAfter))
}

// await waits for the home's decision. Without one, the instance's own part decides.
func (a *allotments) await(ctx context.Context, account *contract.Account, s *spending) error {
	select {
	case x := <-s.answer:
		if x.err == nil && x.granted {
			return nil
		}
		if x.err == nil {
			return a.refusal(account, x.after)
		}
	case <-ctx.Done():
		return result.New(result.DeadlinePassed, "the request's time passed before its rate was known")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if verdict, after := a.purse(account.Name).Admit(now, false, a.share(now, account), rand.Float64()); verdict == contract.Refuse {
		return a.refusal(account, after)
	}
	return nil
}

// window is the bound on what an account gets.
func (a *allotments) window() contract.WindowLimit {
	b := a.instance.bounds()
	return contract.WindowLimit{Length: b.QuotaWindow, Overage: b.QuotaOverage, Slack: b.QuotaSlack}
}

// share is this instance's part of an account while its home can't be reached; the caller holds the lock.
func (a *allotments) share(now time.Time, account *contract.Account) contract.FallbackShare {
	n := float64(a.fleet.most(now, a.instances()))
	return contract.FallbackShare{Rate: account.Rate / n, Burst: float64(account.Burst) / n}
}

func (a *allotments) purse(account string) *contract.LocalLimiter {
	p := a.purses[account]
	if p == nil {
		p = &contract.LocalLimiter{}
		a.purses[account] = p
	}
	return p
}

func (a *allotments) home(id membership.ID) *home {
	h := a.homes[id]
	if h == nil {
		h = &home{id: id}
		a.homes[id] = h
	}
	return h
}

// tell lets a home know of a request, together with others that wait meanwhile; the caller holds the lock.
func (a *allotments) tell(h *home, s *spending) {
	if len(h.waiting) >= usageQueue {
		if s.answer != nil {
			s.answer <- spendingAnswer{err: result.New(result.LinkBusy, "too much waits to be told to the home")}
		}
		return
	}
	h.waiting = append(h.waiting, s)
	if !h.calling {
		h.calling = true
		go a.call(h)
	}
}

// call tells a home all that waits, until nothing does.
func (a *allotments) call(h *home) {
	for {
		a.mu.Lock()
		batch := h.waiting
		h.waiting = nil
		if len(batch) == 0 {
			h.calling = false
			a.mu.Unlock()
			return
		}
		call := a.usageOf(h, batch)
		owed := a.takeOwed(batch)
		a.mu.Unlock()
		for account, n := range owed {
			u := call.Accounts[account]
			u.Spent += n
			call.Accounts[account] = u
		}
		answer, err := a.send(h, call)
		if err != nil {
			a.owe(owed)
		}
		a.settle(h, batch, call, answer, err)
	}
}

// usageOf is the call that tells a home of a batch; the caller holds the lock.
func (a *allotments) usageOf(h *home, batch []*spending) usageCall {
	now := time.Now()
	call := usageCall{Home: h.id, From: a.instance.id, Accounts: make(map[string]usage)}
	for _, s := range batch {
		u, ok := call.Accounts[s.account]
		if !ok {
			p := a.purse(s.account)
			if k, ok := p.LevelFromOtherCoordinator(now, string(h.id)); ok {
				u.Known = &k
			}
			call.Moved = call.Moved || p.CoordinatorChanged(now, string(h.id))
		}
		if s.answer == nil {
			u.Spent++
		} else {
			u.Asked++
		}
		call.Accounts[s.account] = u
	}
	return call
}

// takeOwed returns what the accounts of a batch spent while their home could not be reached; the caller holds the lock.
func (a *allotments) takeOwed(batch []*spending) map[string]int {
	owed := make(map[string]int)
	for _, s := range batch {
		if n := a.purse(s.account).TakeUnreported(); n > 0 {
			owed[s.account] += n
		}
	}
	return owed
}

// owe takes back what the home did not hear.
func (a *allotments) owe(owed map[string]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for account, n := range owed {
		a.purse(account).RestoreUnreported(n)
	}
}

// send calls a home, or an instance that passes the call on where the home did not answer of late: often only the way between
// two instances is harmed.
func (a *allotments) send(h *home, call usageCall) (usageAnswer, error) {
	a.mu.Lock()
	direct := time.Now().After(h.restTo)
	a.mu.Unlock()
	if direct {
		answer, err := a.callAt(h.id, call)
		if err == nil {
			return answer, nil
		}
		a.mu.Lock()
		h.restTo = time.Now().Add(homeRest)
		a.mu.Unlock()
	}
	return a.callAt(a.relay(h.id), call)
}

// relay picks an instance of the own failure domain, or else any, to pass a call on to a home.
func (a *allotments) relay(home membership.ID) membership.ID {
	var near, far []membership.ID
	for id, r := range a.instance.members.Directory().Records() {
		if id == home || id == a.instance.id || r.Leaving {
			continue
		}
		far = append(far, id)
		if r.Domain == a.instance.options.Settings.Domain {
			near = append(near, id)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return home
	}
	return near[rand.IntN(len(near))]
}

// callAt makes the call at one instance.
func (a *allotments) callAt(id membership.ID, call usageCall) (answer usageAnswer, err error) {
	if id == a.instance.id {
		return a.spend(call), nil
	}
	r, ok := a.instance.members.Directory().Record(id)
	if !ok {
		return answer, result.New(result.PeerUnknown, "the instance %s is not in the membership", id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), usageTimeout)
	defer cancel()
	err = a.instance.calls.Call(ctx, r.Control.String(), methodUsage, call, &answer)
	return answer, err
}

// settle takes over a home's answer.
func (a *allotments) settle(h *home, batch []*spending, call usageCall, answer usageAnswer, err error) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.instance.options.Events.Log(event.HomeSilent, event.F("home", string(h.id)), event.F("code", int(result.CodeOf(err))), event.F("accounts", len(call.Accounts)))
		h.lostTo = now.Add(homeRest)
	}
	for name, u := range call.Accounts {
		if err != nil {
			a.purse(name).HandleFailure(u.Spent)
			continue
		}
		a.purse(name).HandleReply(now, string(h.id), u.Spent, answer.Accounts[name])
	}
	for _, s := range batch {
		if s.answer == nil {
			continue
		}
		state := answer.Accounts[s.account]
		x := spendingAnswer{err: err, granted: state.Granted > 0, after: time.Duration(state.NextMillis) * time.Millisecond}
		state.Granted--
		if err == nil {
			answer.Accounts[s.account] = state
		}
		s.answer <- x
	}
}

// answer answers the call of another instance.
func (a *allotments) answer(_ context.Context, call usageCall) (any, error) {
	if call.Relayed {
		return a.spend(call), nil
	}
	call.Home = a.presentHome(call)
	if call.Home == a.instance.id {
		return a.spend(call), nil
	}
	call.Relayed = true
	return a.callAt(call.Home, call)
}

// spend counts at the home.
func (a *allotments) spend(call usageCall) usageAnswer {
	out := usageAnswer{Accounts: make(map[string]contract.BucketState, len(call.Accounts))}
	view := a.instance.configuration.view()
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.moves.RecordCall(now, string(call.From), call.Moved)
	part := a.part(now)
	for name, u := range call.Accounts {
		if view == nil {
			continue
		}
		account, ok := view.Accounts.Account(name)
		if !ok {
			continue
		}
		rate, burst := a.window().Allowed(account.Rate, float64(account.Burst))
		p := a.pools[name]
		if p == nil {
			p = &contract.AccountBucket{}
			a.pools[name] = p
		}
		p.SetLimits(now, rate*part, burst)
		if u.Known != nil {
			p.ApplyReport(now, *u.Known)
		}
		out.Accounts[name] = p.Spend(now, u.Spent, u.Asked)
	}
	return out
}

// sweepEvery is how often what is kept of accounts and homes that are gone is dropped.
const sweepEvery = time.Minute

// run drops what is not needed any more, until ctx ends.
func (a *allotments) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, sweepEvery)
		view := a.instance.configuration.view()
		if view == nil {
			continue
		}
		a.mu.Lock()
		for name := range a.purses {
			if _, ok := view.Accounts.Account(name); !ok {
				delete(a.purses, name)
				delete(a.pools, name)
			}
		}
		for id, h := range a.homes {
			if _, ok := a.instance.members.Directory().Record(id); !ok && !h.calling {
				delete(a.homes, id)
			}
		}
		a.mu.Unlock()
	}
}
