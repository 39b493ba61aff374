package once

import (
	"context"
	"strconv"
	"time"
)

const (
	commitTries = 5
	commitPause = 50 * time.Millisecond
)

// HandOver gives the homes here to their successors, at a planned stop. It returns how many were taken over; for the
// others nobody answers any more, which refuses their keys and runs nothing twice.
func (s *Service) HandOver(ctx context.Context) (taken int) {
	s.mu.Lock()
	homes := s.host.ReplicaIDs()
	s.mu.Unlock()
	for _, id := range homes {
		if s.handOver(ctx, id) {
			taken++
		}
	}
	return taken
}

// handOver tries one successor after the other until one has all parts; from then on there is no other.
func (s *Service) handOver(ctx context.Context, id string) bool {
	s.mu.Lock()
	home := s.host.Seal(id)
	s.mu.Unlock()
	for _, to := range s.options.Successors(id) {
		transfer := s.options.ID + "-" + strconv.FormatUint(s.tries.Add(1), genBase)
		parts := home.export(time.Now(), transfer)
		if s.sendParts(ctx, to, parts) {
			return s.commit(ctx, to, CommitRequest{Replica: id, TransferID: transfer, Parts: len(parts)})
		}
	}
	return false
}

func (s *Service) sendParts(ctx context.Context, to string, parts []HandOverPart) bool {
	for _, p := range parts {
		var a HandOverResponse
		if s.call(ctx, to, MethodPart, p, &a) != nil || !a.Accepted {
			return false
		}
	}
	return true
}

// commit repeats a commit whose answer is lost.
func (s *Service) commit(ctx context.Context, to string, call CommitRequest) bool {
	for range commitTries {
		var a HandOverResponse
		if s.call(ctx, to, MethodCommit, call, &a) == nil {
			return a.Accepted
		}
		pause(ctx, commitPause)
	}
	return false
}
