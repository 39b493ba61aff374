package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestHandOverKeepsReplicaState(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	from, to := NewReplicaHost("h", now), NewReplicaHost("s", now)
	prefix := KeyPrefix([]ReplicaRef{{ID: "h"}})
	for i := range 3000 {
		req := ClaimRequest{Replica: "h", Key: fmt.Sprint(prefix, i), RoundID: "t", TimeoutMillis: 60_000}
		is.Equal(from.Claim(now, req).State, Granted)
		if i%2 == 0 {
			from.Settle(now, SettleRequest{
				Replica: "h", Key: req.Key, RoundID: "t", Outcome: Ran,
				Record: &Record{Status: i, Body: make([]byte, 2000)},
			})
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
	is.True(to.Commit(now, commit).Accepted) // repeated because the response was lost
	is.True(!to.Part(parts[0]).Accepted)     // the replica is not accepted a second time
	is.Equal(from.Claim(now, ClaimRequest{Replica: "h"}).State, NotHosted)
	is.Equal(to.replicas["h"].Generation(now), uint64(1))
	for i := range 3000 {
		resp := to.Claim(now, ClaimRequest{Replica: "h", Key: fmt.Sprint(prefix, i), RoundID: "u"})
		if i%2 == 0 {
			is.Equal(resp.Record.Status, i)
		} else {
			is.Equal(resp.State, Overdue)
		}
	}
	to.Expire(now.Add(keptGenerations * generationDuration))
	is.Equal(to.ReplicaIDs(), []string{"s"})
}

func TestReplicaIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	r := NewReplica("h", now)
	prefix := KeyPrefix([]ReplicaRef{{ID: "h"}})
	big := &Record{Body: make([]byte, MaxRecordBytes)}
	for i := range maxGrants + 10 {
		req := ClaimRequest{Replica: "h", Key: fmt.Sprint(prefix, i), RoundID: "t"}
		state := r.Claim(now, req).State
		is.Equal(state == Granted, i < maxGrants)
		r.Settle(now, SettleRequest{Replica: "h", Key: req.Key, RoundID: "t", Outcome: Ran, Record: big})
		if i == maxGrants/2 {
			is.Equal(r.Claim(now, req).Record, big) // the record is still there
		}
	}
	is.True(r.Stats(now).RecordBytes <= maxTotalRecordBytes)
	// The record is dropped, the grant is not.
	is.Equal(r.Claim(now, ClaimRequest{Replica: "h", Key: prefix + "0", RoundID: "u"}), ClaimResponse{State: Done})
	now = now.Add(keptGenerations * generationDuration)
	is.Equal(r.Stats(now), ReplicaStats{Generation: keptGenerations})
	is.Equal(r.Claim(now, ClaimRequest{Replica: "h", Key: prefix + "0", RoundID: "u"}).State, CannotGrant)
}
