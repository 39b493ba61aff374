package once

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

// lossy is a platform whose answers get lost and whose writes may take effect later, as drawn.
type lossy struct {
	*objects.Memory
	draw func(label string, most int) int
	late []func()
}

func (l *lossy) Put(ctx context.Context, name string, before objects.Version, value []byte) (objects.Version, error) {
	unknown := result.New(result.PlatformOutcomeUnknown, "lost")
	switch l.draw("put", 5) {
	case 0: // takes effect, the answer is lost
		_, _ = l.Memory.Put(ctx, name, before, value)
		return 0, unknown
	case 1: // takes effect later, if it still can
		l.late = append(l.late, func() { _, _ = l.Memory.Put(ctx, name, before, value) })
		return 0, unknown
	case 2:
		return 0, result.New(result.PlatformUnavailable, "away")
	}
	return l.Memory.Put(ctx, name, before, value)
}

func (l *lossy) Get(ctx context.Context, name string) (objects.Object, error) {
	if l.draw("get", 5) == 0 {
		return objects.Object{}, result.New(result.PlatformUnavailable, "away")
	}
	return l.Memory.Get(ctx, name)
}

// land lets one late write take effect.
func (l *lossy) land() {
	if len(l.late) > 0 {
		n := l.draw("late", len(l.late)-1)
		l.late[n]()
		l.late = append(l.late[:n], l.late[n+1:]...)
	}
}

// TestPlainKeysRunOnceWhateverIsLost steps several tries of one key through random losses; each may end in every way.
func TestPlainKeysRunOnceWhateverIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		l := &lossy{Memory: objects.NewMemory(), draw: func(label string, most int) int { return rapid.IntRange(0, most).Draw(t, label) }}
		r := Request{Account: "a", Key: "k", Digest: "d", Deadline: time.Now().Add(time.Hour)}
		runs := 0
		for n := range 4 {
			try := &plainTry{client: l, request: r, name: plainName(r), claim: plainClaim{Try: strconv.Itoa(n), Digest: r.Digest, State: plainClaimed}}
			holds, decided, record := false, false, (*Record)(nil)
			for step := 0; step < 4 && !holds && !decided; step++ {
				holds = try.write(ctx)
				if !holds {
					var err error
					decided, record, err = try.look(ctx)
					holds = decided && err == nil && record == nil
				}
				l.land()
			}
			if record != nil && runs == 0 {
				t.Fatal("an answer was replayed though nothing ran")
			}
			if !holds {
				continue
			}
			switch l.draw("end", 3) {
			case 0:
				try.settle(ctx, Released, nil)
			case 1: // the process is lost after the run
				runs++
			case 2:
				runs++
				try.settle(ctx, MayHaveRun, nil)
			default:
				runs++
				try.settle(ctx, Ran, &Record{Status: 200})
			}
		}
		if runs > 1 {
			t.Fatalf("%d runs", runs)
		}
	})
}

func TestPlainTryDecidesOnWhatAnotherLeft(t *testing.T) {
	record := &Record{Status: 200}
	for name, c := range map[string]struct {
		left    plainClaim
		decided bool
		replay  bool
		code    result.Code
		run     result.RunStatus
	}{
		"running":            {left: plainClaim{Digest: "d", State: plainClaimed}},
		"ran":                {left: plainClaim{Digest: "d", State: plainRan, Record: record}, decided: true, replay: true},
		"ran, not kept":      {left: plainClaim{Digest: "d", State: plainRan}, decided: true, code: result.IdempotencyUnknown, run: result.Ran},
		"lost":               {left: plainClaim{Digest: "d", State: plainLost}, decided: true, code: result.IdempotencyUnknown, run: result.MayHaveRun},
		"other content":      {left: plainClaim{Digest: "x", State: plainClaimed}, decided: true, code: result.IdempotencyMismatch, run: result.MayHaveRun},
		"other content, ran": {left: plainClaim{Digest: "x", State: plainRan}, decided: true, code: result.IdempotencyMismatch, run: result.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &plainTry{claim: plainClaim{Try: "mine", Digest: "d"}}
			decided, got, err := p.other(c.left)
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
	_, err := store.Put(ctx, plainName(r), 0, encodeClaim(plainClaim{Try: "t", Digest: "d", State: plainRan}))
	is.NoErr(err)
	now := time.Unix(0, 0)
	sweepers := []*Sweeper{NewSweeper(store), NewSweeper(store)} // two at once end no period early
	hours := 0
	for ; hours < 48; hours++ {
		for _, s := range sweepers {
			err := s.Sweep(ctx, now)
			is.True(err == nil || result.Is(err, result.PlatformConflict))
		}
		if _, err := store.Get(ctx, plainName(r)); result.Is(err, result.PlatformNotFound) {
			break
		}
		now = now.Add(time.Hour)
	}
	is.True(hours > 24) // kept for a day
	is.True(hours < 48) // and not for ever
}
