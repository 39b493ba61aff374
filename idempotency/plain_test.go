package idempotency

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "amaranthstile/internal/fixedseed"
	"amaranthstile/result"
	objects "amaranthstile/store"
)

// lossy is an object store whose responses may be lost and whose writes may take effect later, as drawn.
type lossy struct {
	*objects.Memory
	draw func(label string, most int) int
	late []func()
}

func (l *lossy) Put(ctx context.Context, name string, before objects.Version, value []byte) (objects.Version, error) {
	unknown := result.New(result.PlatformOutcomeUnknown, "response lost")
	switch l.draw("put", 5) {
	case 0: // takes effect, but the response is lost
		_, _ = l.Memory.Put(ctx, name, before, value)
		return 0, unknown
	case 1: // takes effect later, if its condition still holds then
		l.late = append(l.late, func() { _, _ = l.Memory.Put(ctx, name, before, value) })
		return 0, unknown
	case 2:
		return 0, result.New(result.PlatformUnavailable, "unavailable")
	}
	return l.Memory.Put(ctx, name, before, value)
}

func (l *lossy) Get(ctx context.Context, name string) (objects.Object, error) {
	if l.draw("get", 5) == 0 {
		return objects.Object{}, result.New(result.PlatformUnavailable, "unavailable")
	}
	return l.Memory.Get(ctx, name)
}

// applyLate lets one late write take effect.
func (l *lossy) applyLate() {
	if len(l.late) > 0 {
		n := l.draw("late", len(l.late)-1)
		l.late[n]()
		l.late = append(l.late[:n], l.late[n+1:]...)
	}
}

// TestPlainKeysRunOnceDespiteLosses runs several attempts of one key with random losses of messages and processes. Each
// attempt may end with any outcome.
func TestPlainKeysRunOnceDespiteLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		l := &lossy{
			Memory: objects.NewMemory(),
			draw:   func(label string, most int) int { return rapid.IntRange(0, most).Draw(t, label) },
		}
		r := Request{Account: "a", Key: "k", Digest: "d", Deadline: time.Now().Add(time.Hour)}
		runs := 0
		for n := range 4 {
			attempt := &plainAttempt{
				client: l, request: r, object: plainObjectName(r),
				claim: plainClaim{AttemptID: strconv.Itoa(n), Digest: r.Digest, State: plainClaimed},
			}
			confirmed, decided, record := false, false, (*Record)(nil)
			for step := 0; step < 4 && !confirmed && !decided; step++ {
				confirmed = attempt.create(ctx)
				if !confirmed {
					var err error
					decided, record, err = attempt.check(ctx)
					confirmed = decided && err == nil && record == nil
				}
				l.applyLate()
			}
			if record != nil && runs == 0 {
				t.Fatal("a response was replayed although nothing ran")
			}
			if !confirmed {
				continue
			}
			switch l.draw("end", 3) {
			case 0:
				attempt.settle(ctx, Released, nil)
			case 1: // the process ends after the run, before it settles the key
				runs++
			case 2:
				runs++
				attempt.settle(ctx, MayHaveRun, nil)
			default:
				runs++
				attempt.settle(ctx, Ran, &Record{Status: 200})
			}
		}
		if runs > 1 {
			t.Fatalf("%d runs", runs)
		}
	})
}

func TestPlainAttemptIsDecidedByOtherClaim(t *testing.T) {
	record := &Record{Status: 200}
	for name, c := range map[string]struct {
		other   plainClaim
		decided bool
		replay  bool
		code    result.Code
		run     result.RunStatus
	}{
		"running": {other: plainClaim{Digest: "d", State: plainClaimed}},
		"ran": {
			other: plainClaim{Digest: "d", State: plainRan, Record: record}, decided: true, replay: true,
		},
		"ran, record not kept": {
			other: plainClaim{Digest: "d", State: plainRan}, decided: true,
			code: result.IdempotencyUnknown, run: result.Ran,
		},
		"may have run": {
			other: plainClaim{Digest: "d", State: plainMayHaveRun}, decided: true,
			code: result.IdempotencyUnknown, run: result.MayHaveRun,
		},
		"other digest": {
			other: plainClaim{Digest: "x", State: plainClaimed}, decided: true,
			code: result.IdempotencyMismatch, run: result.MayHaveRun,
		},
		"other digest, ran": {
			other: plainClaim{Digest: "x", State: plainRan}, decided: true,
			code: result.IdempotencyMismatch, run: result.NotRun,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &plainAttempt{claim: plainClaim{AttemptID: "mine", Digest: "d"}}
			decided, got, err := p.checkOther(c.other)
			is.Equal(decided, c.decided)
			is.Equal(got != nil, c.replay)
			is.Equal(result.CodeOf(err), c.code)
			if err != nil {
				is.Equal(result.RunOf(err), c.run)
			}
		})
	}
}

func TestSweeperKeepsKeysForADay(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := objects.NewMemory()
	r := Request{Account: "a", Key: "k", Digest: "d"}
	_, err := store.Put(ctx, plainObjectName(r), 0, encodeClaim(plainClaim{AttemptID: "t", Digest: "d", State: plainRan}))
	is.NoErr(err)
	now := time.Unix(0, 0)
	sweepers := []*Sweeper{NewSweeper(store), NewSweeper(store)} // concurrent sweepers end no period early
	hours := 0
	for ; hours < 48; hours++ {
		for _, s := range sweepers {
			err := s.Sweep(ctx, now)
			is.True(err == nil || result.Is(err, result.PlatformConflict))
		}
		if _, err := store.Get(ctx, plainObjectName(r)); result.Is(err, result.PlatformNotFound) {
			break
		}
		now = now.Add(time.Hour)
	}
	is.True(hours > 24) // kept for at least a day
	is.True(hours < 48) // and eventually deleted
}
