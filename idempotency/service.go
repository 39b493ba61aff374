package idempotency

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
	// prefixLifetime is how long a prefix is issued before the replicas are asked for their generations again.
	prefixLifetime = time.Minute
	// maxSettleWait bounds how long a response to the client waits until a majority of the replicas recorded it.
	maxSettleWait = 50 * time.Millisecond
)

// RPCClient calls methods of other instances.
type RPCClient interface {
	Call(ctx context.Context, addr string, m link.Method, params, out any) error
}

// Options are the options of a Service; all fields are required.
type Options struct {
	// ID is the identity of the process.
	ID  string
	RPC RPCClient
	// Address returns the control address of an instance.
	Address func(id string) (string, bool)
	// Candidates returns the instances that may host replicas of new keys, the preferred ones first.
	Candidates func() []string
	// Platform holds the plain keys, which clients chose without a prefix.
	Platform store.Client
	// Successors returns the instances to which a replica can be handed over, the preferred ones first. All instances
	// that have the same view of the fleet return the same ones.
	Successors func(replica string) []string
}

// Service hosts the replicas of one instance and claims keys for the attempts that arrive at it.
type Service struct {
	options  Options
	attempts atomic.Uint64

	plain *plainKeys

	mu   sync.Mutex // guards host; held for map operations only
	host *ReplicaHost

	prefixMu        sync.Mutex
	prefix          string
	prefixExpiresAt time.Time
}

// New returns a service; Register makes its replica respond to the calls of other instances.
func New(o Options) *Service {
	return &Service{options: o, host: NewReplicaHost(o.ID, time.Now()), plain: newPlainKeys(o.Platform)}
}

// Register registers the handlers of the service's methods with a server.
func (s *Service) Register(server *link.ControlServer) {
	link.Register(server, MethodGeneration, s.handleGeneration)
	link.Register(server, MethodClaim, s.handleClaim)
	link.Register(server, MethodSettle, s.handleSettle)
	link.Register(server, MethodPart, s.handlePart)
	link.Register(server, MethodCommit, s.handleCommit)
}

func (s *Service) handleGeneration(_ context.Context, req GenerationRequest) (any, error) {
	if req.Replica != s.options.ID {
		return nil, result.New(result.PeerUnknown, "the request is for the replica of another instance")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	replica, ok := s.host.replicas[s.options.ID]
	if !ok {
		return nil, result.New(result.ShuttingDown, "the replica was handed over")
	}
	return GenerationResponse{Generation: replica.Generation(time.Now())}, nil
}

func (s *Service) handleClaim(_ context.Context, req ClaimRequest) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.host.Claim(time.Now(), req), nil
}

func (s *Service) handleSettle(_ context.Context, req SettleRequest) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.host.Settle(time.Now(), req), nil
}

func (s *Service) handlePart(_ context.Context, part HandOverPart) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.host.Expire(time.Now())
	return s.host.Part(part), nil
}

func (s *Service) handleCommit(_ context.Context, req CommitRequest) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.host.Commit(time.Now(), req), nil
}

// Stats returns the counters of the hosted replicas by their IDs.
func (s *Service) Stats() map[string]ReplicaStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]ReplicaStats, len(s.host.replicas))
	for id, replica := range s.host.replicas {
		out[id] = replica.Stats(time.Now())
	}
	return out
}

// call calls a method of an instance. It fails with PeerUnknown if the instance is no longer a member of the fleet.
func (s *Service) call(ctx context.Context, instance string, m link.Method, params, out any) error {
	addr, ok := s.options.Address(instance)
	if !ok {
		return result.New(result.PeerUnknown, "the address of instance %s is unknown", instance)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.options.RPC.Call(ctx, addr, m, params, out)
}

// possibleHosts returns the instances that may host a replica: its original process, or one of its successors.
func (s *Service) possibleHosts(replica string) []string {
	return append([]string{replica}, s.options.Successors(replica)...)
}

// Prefix returns the current prefix for clients' keys; the error carries NoEndpoint when no replica responds.
func (s *Service) Prefix(ctx context.Context) (string, error) {
	s.prefixMu.Lock()
	defer s.prefixMu.Unlock()
	if time.Now().Before(s.prefixExpiresAt) {
		return s.prefix, nil
	}
	var replicas []ReplicaRef
	for _, id := range s.options.Candidates() {
		if len(replicas) == MaxReplicas {
			break
		}
		if g, err := s.generation(ctx, id); err == nil {
			replicas = append(replicas, ReplicaRef{ID: id, Generation: g})
		}
	}
	if len(replicas) == 0 {
		return "", result.New(result.NoEndpoint, "no instance responds as a replica for new keys")
	}
	s.prefix, s.prefixExpiresAt = KeyPrefix(replicas), time.Now().Add(prefixLifetime)
	return s.prefix, nil
}

func (s *Service) generation(ctx context.Context, id string) (uint64, error) {
	var resp GenerationResponse
	err := s.call(ctx, id, MethodGeneration, GenerationRequest{Replica: id}, &resp)
	return resp.Generation, err
}

// Request identifies a request with an Idempotency-Key.
type Request struct {
	Account, Key, Digest string
	Deadline             time.Time
}

// Claim is a key that was claimed for one attempt. It must be settled exactly once.
type Claim struct {
	service *Service
	key     Key
	request Request
	roundID string
	plain   *plainAttempt // nil for a key with a prefix
}

// Begin claims the key of a request. It returns a Claim if the request may run, or the record to replay, or an error
// whose execution status holds for all attempts with the key.
func (s *Service) Begin(ctx context.Context, r Request) (*Claim, *Record, error) {
	attemptID := s.options.ID + "-" + strconv.FormatUint(s.attempts.Add(1), generationBase)
	if IsPlain(r.Key) {
		return s.beginPlain(ctx, r, attemptID)
	}
	k, err := ParseKey(r.Key)
	if err != nil {
		return nil, nil, result.WithRun(err, result.NotRun)
	}
	c := NewClaimer(k, attemptID, r.Deadline, rand.Float64)
	for {
		step := c.Next(time.Now())
		s.release(k, r, step.Release)
		switch step.Kind {
		case StepAsk:
			c.HandleReply(s.ask(ctx, k, r, step))
		case StepWait:
			sleep(ctx, step.Wait)
		case StepRun:
			return &Claim{service: s, key: k, request: r, roundID: step.RoundID}, nil, nil
		case StepReplay:
			return nil, step.Record, nil
		case StepRefuse:
			return nil, nil, step.Err
		}
	}
}

func (s *Service) beginPlain(ctx context.Context, r Request, attemptID string) (*Claim, *Record, error) {
	p, record, err := s.plain.begin(ctx, r, attemptID)
	if p == nil {
		return nil, record, err
	}
	return &Claim{service: s, request: r, roundID: attemptID, plain: p}, nil, nil
}

// Sweep deletes expired plain keys from the platform's object store while isSweeper reports that this instance has to
// sweep, until ctx ends.
func (s *Service) Sweep(ctx context.Context, isSweeper func() bool) { s.plain.sweep(ctx, isSweeper) }

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// ask sends a claim to a replica, and returns nil if no possible host of it responds as its host.
func (s *Service) ask(ctx context.Context, k Key, r Request, step Step) *ClaimResponse {
	replica := k.Replicas[step.Replica].ID
	req := ClaimRequest{
		Replica: replica, Account: r.Account, Key: r.Key, Digest: r.Digest, RoundID: step.RoundID,
		TimeoutMillis: max(time.Until(r.Deadline).Milliseconds(), 0),
	}
	for _, instance := range s.possibleHosts(replica) {
		var resp ClaimResponse
		if s.call(ctx, instance, MethodClaim, req, &resp) == nil && resp.State != NotHosted {
			return &resp
		}
	}
	return nil
}

func (s *Service) release(k Key, r Request, releases []Release) {
	for _, x := range releases {
		go s.settle(k.Replicas[x.Replica].ID, r, x.RoundID, Released, nil)
	}
}

// settle sends an outcome to one replica. If the message is lost, the grant becomes overdue.
func (s *Service) settle(replica string, r Request, roundID string, o Outcome, record *Record) {
	req := SettleRequest{
		Replica: replica, Account: r.Account, Key: r.Key, Digest: r.Digest, RoundID: roundID, Outcome: o, Record: record,
	}
	for _, instance := range s.possibleHosts(replica) {
		var resp SettleResponse
		if s.call(context.Background(), instance, MethodSettle, req, &resp) == nil && !resp.NotHosted {
			return
		}
	}
}

// Settle reports the outcome of the attempt to the replicas, and waits for a majority of them for at most
// maxSettleWait. The outcome is Released only if the attempt did not run and never will.
func (c *Claim) Settle(o Outcome, record *Record) {
	if record != nil && record.size() > MaxRecordBytes {
		record = nil
	}
	settled := make(chan struct{}, MaxReplicas)
	needed := c.send(o, record, settled)
	timer := time.NewTimer(maxSettleWait)
	defer timer.Stop()
	for range needed {
		select {
		case <-settled:
		case <-timer.C:
			return
		}
	}
}

// send settles the key in the background, at its replicas or in the platform's object store. It signals each completed
// settlement on settled, and returns how many of them to wait for.
func (c *Claim) send(o Outcome, record *Record, settled chan<- struct{}) int {
	if c.plain != nil {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), plainSettleTimeout)
			defer cancel()
			c.plain.settle(ctx, o, record)
			settled <- struct{}{}
		}()
		return 1
	}
	for _, r := range c.key.Replicas {
		go func() {
			c.service.settle(r.ID, c.request, c.roundID, o, record)
			settled <- struct{}{}
		}()
	}
	return c.key.majority()
}
