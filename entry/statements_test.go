package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/backend"
	"amaranthstile/membership"
	"amaranthstile/result"
)

// statedBy returns a finished attempt at a backend server.
func statedBy(id, statement string, err error) *attempt {
	return &attempt{endpoint: membership.Candidate{Endpoint: membership.Endpoint{Backend: id}}, statement: statement, err: err}
}

// TestStatementHoldsUntilAResponseSaysOtherwise records responses with and without a statement, and an attempt without a response.
func TestStatementHoldsUntilAResponseSaysOtherwise(t *testing.T) {
	is := is.New(t)
	var s statements
	now := time.Unix(1000, 0)
	s.record(statedBy("b", backend.Statement{Limited: true, Limit: 2}.Format(0), nil), now)
	s.record(statedBy("b", "", result.New(result.BackendBusy, "no slot is free")), now)
	is.Equal(s.last("b", now.Add(time.Second)), "2,0,1000")
	is.Equal(s.last("other", now), "")
	s.record(statedBy("b", "", nil), now)
	is.Equal(s.last("b", now), "")
}

// TestStatementsAreBounded records more statements than are kept: the oldest ones are gone.
func TestStatementsAreBounded(t *testing.T) {
	is := is.New(t)
	var s statements
	now := time.Unix(1000, 0)
	for n := range maxStatements + 10 {
		s.record(statedBy(fmt.Sprint(n), "1,0,0", nil), now.Add(time.Duration(n)*time.Millisecond))
	}
	is.Equal(len(s.byBackend), maxStatements)
	is.Equal(s.last("9", now), "")
	is.True(s.last("10", now.Add(time.Minute)) != "")
	is.Equal(s.last("10", now.Add(2*statementLifetime)), "")
}
