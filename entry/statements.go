package entry

import (
	"sync"
	"time"

	"amaranthstile/backend"
)

const (
	// maxStatements bounds the statements that are kept. Only backend servers that name a limit or leave have one.
	maxStatements = 4096
	// statementLifetime is how long a statement is kept that no response repeats: many times the time in which a backend
	// server that leaves ends.
	statementLifetime = 10 * time.Minute
)

// statements keeps what backend servers said about themselves in the responses that passed this instance. It is sent
// with each request, since the instance beside the backend server forgets it at a restart. The zero value is empty. It is
// safe for concurrent use.
type statements struct {
	mu        sync.Mutex
	byBackend map[string]seenStatement
}

// seenStatement is a statement and when it was seen.
type seenStatement struct {
	backend.Statement
	at time.Time
}

// record takes over the statement of an attempt. A response without a statement revokes an earlier one; an attempt
// without a response says nothing.
func (s *statements) record(a *attempt, now time.Time) {
	id := a.endpoint.Backend
	s.mu.Lock()
	defer s.mu.Unlock()
	said, age, ok := backend.ParseStatement(a.statement)
	if !ok {
		if a.err == nil {
			delete(s.byBackend, id)
		}
		return
	}
	if s.byBackend == nil {
		s.byBackend = make(map[string]seenStatement)
	}
	if _, known := s.byBackend[id]; !known && len(s.byBackend) >= maxStatements {
		s.evict(now)
	}
	s.byBackend[id] = seenStatement{said, now.Add(-age)}
}

// evict removes the statements whose lifetime is over, or else the oldest one; the calling function holds the lock.
func (s *statements) evict(now time.Time) {
	oldest := ""
	for id, seen := range s.byBackend {
		if now.Sub(seen.at) > statementLifetime {
			delete(s.byBackend, id)
			continue
		}
		if oldest == "" || seen.at.Before(s.byBackend[oldest].at) {
			oldest = id
		}
	}
	if len(s.byBackend) >= maxStatements {
		delete(s.byBackend, oldest)
	}
}

// last returns the last statement of a backend server for the exit side, or "" if it made none.
func (s *statements) last(id string, now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen, ok := s.byBackend[id]
	if !ok || now.Sub(seen.at) > statementLifetime {
		return ""
	}
	return seen.Format(now.Sub(seen.at))
}
