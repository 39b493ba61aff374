package idempotency

import (
	"context"
	"strconv"
	"time"
)

const (
	commitAttempts = 5
	commitPause    = 50 * time.Millisecond
)

// HandOver hands the replicas of this instance over to their successors at a planned stop. It returns how many were
// accepted. No instance hosts the others any more: their keys are refused, and nothing runs twice.
func (s *Service) HandOver(ctx context.Context) (accepted int) {
	s.mu.Lock()
	ids := s.host.ReplicaIDs()
	s.mu.Unlock()
	for _, id := range ids {
		if s.handOver(ctx, id) {
			accepted++
		}
	}
	return accepted
}

// handOver offers a replica to one successor after the other until one has all parts. From then on it uses only that
// successor, because its commit may have taken effect.
func (s *Service) handOver(ctx context.Context, id string) bool {
	s.mu.Lock()
	replica := s.host.Seal(id)
	s.mu.Unlock()
	for _, to := range s.options.Successors(id) {
		transferID := s.options.ID + "-" + strconv.FormatUint(s.attempts.Add(1), generationBase)
		parts := replica.export(time.Now(), transferID)
		if s.sendParts(ctx, to, parts) {
			return s.commit(ctx, to, CommitRequest{Replica: id, TransferID: transferID, Parts: len(parts)})
		}
	}
	return false
}

func (s *Service) sendParts(ctx context.Context, to string, parts []HandOverPart) bool {
	for _, p := range parts {
		var resp HandOverResponse
		if s.call(ctx, to, MethodPart, p, &resp) != nil || !resp.Accepted {
			return false
		}
	}
	return true
}

// commit sends a commit, and repeats it while no response arrives.
func (s *Service) commit(ctx context.Context, to string, req CommitRequest) bool {
	for range commitAttempts {
		var resp HandOverResponse
		if s.call(ctx, to, MethodCommit, req, &resp) == nil {
			return resp.Accepted
		}
		sleep(ctx, commitPause)
	}
	return false
}
