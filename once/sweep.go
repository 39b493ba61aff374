package once

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"amaranthstile/result"
	"amaranthstile/store"
)

const (
	// MinPeriod is the least time that a period of plain keys lasts.
	MinPeriod = time.Hour
	// keptPeriods is how many whole periods a plain key is kept: at least a day, though the try that claimed it may
	// have known an outdated period.
	keptPeriods = 26
	// periodName is the object that holds the present period.
	periodName = "once/period"
)

// Sweeper advances the period of plain keys and deletes keys whose periods are over. Any number of instances may sweep
// at once. It compares no clocks: a period ends only when one sweeper has seen it last for PeriodTime by its own
// monotonic clock, so keys are kept at least keptPeriods times as long.
type Sweeper struct {
	client  store.Client
	period  uint64
	version store.Version
	since   time.Time
}

// NewSweeper returns a sweeper; no call is made.
func NewSweeper(client store.Client) *Sweeper {
	return &Sweeper{client: client}
}

// Read takes over the present period, and returns it.
func (s *Sweeper) Read(ctx context.Context, now time.Time) (uint64, error) {
	o, err := s.client.Get(ctx, periodName)
	if err != nil && !result.Is(err, result.PlatformNotFound) {
		return s.period, err
	}
	period, err := decodePeriod(o.Value)
	if err != nil {
		return s.period, err
	}
	if period > s.period || s.since.IsZero() {
		s.period, s.since = period, now
	}
	s.version = o.Version
	return s.period, nil
}

func decodePeriod(value []byte) (uint64, error) {
	if len(value) == 0 {
		return 0, nil
	}
	n, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return 0, result.Wrap(result.PlatformProtocol, err, "the period of plain keys")
	}
	return n, nil
}

// Sweep ends the period if it lasted long enough, and then deletes the keys that are old enough.
func (s *Sweeper) Sweep(ctx context.Context, now time.Time) error {
	if _, err := s.Read(ctx, now); err != nil {
		return err
	}
	if now.Sub(s.since) < MinPeriod {
		return nil
	}
	next := strconv.AppendUint(nil, s.period+1, 10)
	if _, err := s.client.Put(ctx, periodName, s.version, next); err != nil {
		return err
	}
	s.period, s.since = s.period+1, now
	return s.deleteOld(ctx)
}

func (s *Sweeper) deleteOld(ctx context.Context) error {
	if s.period < keptPeriods {
		return nil
	}
	objects, err := s.client.List(ctx, plainPrefix)
	if err != nil {
		return err
	}
	for _, listed := range objects {
		if err := s.deleteIfOld(ctx, listed.Name); err != nil {
			return err
		}
	}
	return nil
}

func (s *Sweeper) deleteIfOld(ctx context.Context, name string) error {
	o, err := s.client.Get(ctx, name)
	if result.Is(err, result.PlatformNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var c plainClaim
	if err := json.Unmarshal(o.Value, &c); err != nil || c.Period+keptPeriods >= s.period {
		return nil
	}
	err = s.client.Delete(ctx, name, o.Version)
	if result.Is(err, result.PlatformConflict) || result.Is(err, result.PlatformNotFound) {
		return nil
	}
	return err
}
