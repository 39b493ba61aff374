package once

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"amaranthstile/link"
	"amaranthstile/result"
	"amaranthstile/store"
)

const (
	callTimeout = 300 * time.Millisecond
	// prefixTime is how long a prefix is given out before the homes are asked again.
	prefixTime = time.Minute
	// settleWait bounds how long an answer waits for the homes to record it.
	settleWait = 50 * time.Millisecond
)

// RPCClient makes calls to other instances.
type RPCClient interface {
	Call(ctx context.Context, addr string, m link.Method, params, out any) error
}

// Options are the options of a Service; all fields are needed.
type Options struct {
	// ID is the identity of the process.
	ID  string
	RPC RPCClient
	// Address returns the control address of an instance.
	Address func(id string) (string, bool)
	// Candidates returns instances that may be homes of new keys, the preferred ones first.
	Candidates func() []string
	// Platform holds the keys that callers made up.
	Platform store.Client
	// Successors returns the instances to which a home is handed over, the preferred ones first; all instances that
	// see the same fleet see the same ones.
	Successors func(home string) []string
}

// Service is the home and the tries of one instance.
type Service struct {
	options Options
	tries   atomic.Uint64

	plain *plainKeys

	mu   sync.Mutex // guards host; held for map operations only
	host *ReplicaHost

	prefixMu sync.Mutex
	prefix   string
	until    time.Time
}

// New returns a service; Register makes its home answer calls.
func New(o Options) *Service {
	return &Service{options: o, host: NewReplicaHost(o.ID, time.Now()), plain: newPlainKeys(o.Platform)}
}

// Register adds the home's calls to a server.
func (s *Service) Register(server *link.ControlServer) {
	link.Register(server, MethodGeneration, s.answerGeneration)
	link.Register(server, MethodClaim, s.answerClaim)
	link.Register(server, MethodSettle, s.answerSettle)
	link.Register(server, MethodPart, s.answerPart)
	link.Register(server, MethodCommit, s.answerCommit)
}

func (s *Service) answerGeneration(_ context.Context, call GenerationRequest) (any, error) {
	if call.Replica != s.options.ID {
		return nil, result.New(result.PeerUnknown, "another instance")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	home, ok := s.host.homes[s.options.ID]
	if !ok {
		return nil, result.New(result.ShuttingDown, "the home was handed over")
	}
	return GenerationResponse{Generation: home.Generation(time.Now())}, nil
}

func (s *Service) answerClaim(_ context.Context, call ClaimRequest) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.host.Claim(time.Now(), call), nil
}

func (s *Service) answerSettle(_ context.Context, call SettleRequest) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.host.Settle(time.Now(), call), nil
}

func (s *Service) answerPart(_ context.Context, call HandOverPart) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.host.Expire(time.Now())
	return s.host.Part(call), nil
}

func (s *Service) answerCommit(_ context.Context, call CommitRequest) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.host.Commit(time.Now(), call), nil
}

// Stats returns the counters of the homes here by their identities.
func (s *Service) Stats() map[string]ReplicaStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]ReplicaStats, len(s.host.homes))
	for id, home := range s.host.homes {
		out[id] = home.Stats(time.Now())
	}
	return out
}

// call makes a call to an instance; one that is not known any more can't be reached.
func (s *Service) call(ctx context.Context, instance string, m link.Method, params, out any) error {
	addr, ok := s.options.Address(instance)
	if !ok {
		return result.New(result.PeerUnknown, "instance %s", instance)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.options.RPC.Call(ctx, addr, m, params, out)
}

// places returns the instances at which a home may be: its own process, or where that handed it over.
func (s *Service) places(home string) []string {
	return append([]string{home}, s.options.Successors(home)...)
}

// Prefix returns what callers' keys begin with now; the error carries NoEndpoint when no home answers.
func (s *Service) Prefix(ctx context.Context) (string, error) {
	s.prefixMu.Lock()
	defer s.prefixMu.Unlock()
	if time.Now().Before(s.until) {
		return s.prefix, nil
	}
	var homes []ReplicaRef
	for _, id := range s.options.Candidates() {
		if len(homes) == MaxReplicas {
			break
		}
		if g, err := s.generation(ctx, id); err == nil {
			homes = append(homes, ReplicaRef{ID: id, Generation: g})
		}
	}
	if len(homes) == 0 {
		return "", result.New(result.NoEndpoint, "no instance answers as a home")
	}
	s.prefix, s.until = KeyPrefix(homes), time.Now().Add(prefixTime)
	return s.prefix, nil
}

func (s *Service) generation(ctx context.Context, id string) (uint64, error) {
	var a GenerationResponse
	err := s.call(ctx, id, MethodGeneration, GenerationRequest{Replica: id}, &a)
	return a.Generation, err
}

// Request is a request with an Idempotency-Key.
type Request struct {
	Account, Key, Digest string
	Deadline             time.Time
}

// Claim is a try that has its key; it must be settled exactly once.
type Claim struct {
	service *Service
	key     Key
	request Request
	name    string
	plain   *plainTry // nil for a key that names its homes
}

// Begin claims the key of a request. It returns a Try that may run, or the record to replay, or an error whose
// statement on the run holds for all tries with the key.
func (s *Service) Begin(ctx context.Context, r Request) (*Claim, *Record, error) {
	name := s.options.ID + "-" + strconv.FormatUint(s.tries.Add(1), genBase)
	if IsPlain(r.Key) {
		return s.beginPlain(ctx, r, name)
	}
	k, err := ParseKey(r.Key)
	if err != nil {
		return nil, nil, result.WithRun(err, result.NotRun)
	}
	c := NewClaimer(k, name, r.Deadline, rand.Float64)
	for {
		step := c.Next(time.Now())
		s.release(k, r, step.Release)
		switch step.Kind {
		case StepAsk:
			c.HandleReply(s.ask(ctx, k, r, step))
		case StepWait:
			pause(ctx, step.Wait)
		case StepRun:
			return &Claim{service: s, key: k, request: r, name: step.RoundID}, nil, nil
		case StepReplay:
			return nil, step.Record, nil
		case StepRefuse:
			return nil, nil, step.Err
		}
	}
}

func (s *Service) beginPlain(ctx context.Context, r Request, name string) (*Claim, *Record, error) {
	p, record, err := s.plain.begin(ctx, r, name)
	if p == nil {
		return nil, record, err
	}
	return &Claim{service: s, request: r, name: name, plain: p}, nil, nil
}

// Sweep deletes old keys from the platform while duty says that this instance does so, until ctx ends.
func (s *Service) Sweep(ctx context.Context, duty func() bool) { s.plain.sweep(ctx, duty) }

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (s *Service) ask(ctx context.Context, k Key, r Request, step Step) *ClaimResponse {
	home := k.Replicas[step.Replica].ID
	call := ClaimRequest{
		Replica: home, Account: r.Account, Key: r.Key, Digest: r.Digest, RoundID: step.RoundID,
		TimeoutMillis: max(time.Until(r.Deadline).Milliseconds(), 0),
	}
	for _, place := range s.places(home) {
		var a ClaimResponse
		if s.call(ctx, place, MethodClaim, call, &a) == nil && a.State != NotHosted {
			return &a
		}
	}
	return nil
}

func (s *Service) release(k Key, r Request, list []Release) {
	for _, x := range list {
		go s.settle(k.Replicas[x.Replica].ID, r, x.RoundID, Released, nil)
	}
}

// settle tells one home; a message that is lost leaves the claim to become overdue.
func (s *Service) settle(home string, r Request, try string, o Outcome, record *Record) {
	call := SettleRequest{Replica: home, Account: r.Account, Key: r.Key, Digest: r.Digest, RoundID: try, Outcome: o, Record: record}
	for _, place := range s.places(home) {
		var a SettleResponse
		if s.call(context.Background(), place, MethodSettle, call, &a) == nil && !a.NotHosted {
			return
		}
	}
}

// Settle tells the homes how the try ended, and waits a little for a majority of them. Released is said only of a
// try that was not run and never will be.
func (t *Claim) Settle(o Outcome, record *Record) {
	if record != nil && record.size() > MaxRecordBytes {
		record = nil
	}
	told := make(chan struct{}, MaxReplicas)
	needed := t.tell(o, record, told)
	timer := time.NewTimer(settleWait)
	defer timer.Stop()
	for range needed {
		select {
		case <-told:
		case <-timer.C:
			return
		}
	}
}

// tell settles the key where it is held, and returns how many of the told must answer.
func (t *Claim) tell(o Outcome, record *Record, told chan<- struct{}) int {
	if t.plain != nil {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), plainSettleTimeout)
			defer cancel()
			t.plain.settle(ctx, o, record)
			told <- struct{}{}
		}()
		return 1
	}
	for _, h := range t.key.Replicas {
		go func() {
			t.service.settle(h.ID, t.request, t.name, o, record)
			told <- struct{}{}
		}()
	}
	return t.key.majority()
}
