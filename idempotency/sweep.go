package idempotency

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"amaranthstile/result"
	"amaranthstile/store"
)

const (
	// MinPeriod is the minimum duration of a period of plain keys.
	MinPeriod = time.Hour
	// keptPeriods is how many whole periods a plain key is kept. That is at least a day, even if the attempt that
	// claimed the key used an outdated period.
	keptPeriods = 26
	// periodObject is the name of the object that holds the current period.
	periodObject = "once/period"
)

// Sweeper advances the period of plain keys and deletes the keys of expired periods. Any number of instances may sweep
// at the same time. It does not compare the clocks of instances: a period ends only after one sweeper has observed it
// for MinPeriod on its own monotonic clock, so keys are kept for at least keptPeriods times MinPeriod.
type Sweeper struct {
	client        store.Client
	period        uint64
	version       store.Version
	observedSince time.Time
}

// NewSweeper returns a sweeper. It makes no call to the platform.
func NewSweeper(client store.Client) *Sweeper {
	return &Sweeper{client: client}
}

// Read reads the current period from the platform and returns it.
func (s *Sweeper) Read(ctx context.Context, now time.Time) (uint64, error) {
	o, err := s.client.Get(ctx, periodObject)
	if err != nil && !result.Is(err, result.PlatformNotFound) {
		return s.period, err
	}
	period, err := decodePeriod(o.Value)
	if err != nil {
		return s.period, err
	}
	if period > s.period || s.observedSince.IsZero() {
		s.period, s.observedSince = period, now
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
		return 0, result.Wrap(result.PlatformProtocol, err, "parsing the period of plain keys")
	}
	return n, nil
}

// Sweep ends the period if it lasted at least MinPeriod, and then deletes the keys of expired periods.
func (s *Sweeper) Sweep(ctx context.Context, now time.Time) error {
	if _, err := s.Read(ctx, now); err != nil {
		return err
	}
	if now.Sub(s.observedSince) < MinPeriod {
		return nil
	}
	next := strconv.AppendUint(nil, s.period+1, 10)
	if _, err := s.client.Put(ctx, periodObject, s.version, next); err != nil {
		return err
	}
	s.period, s.observedSince = s.period+1, now
	return s.deleteExpired(ctx)
}

func (s *Sweeper) deleteExpired(ctx context.Context) error {
	if s.period < keptPeriods {
		return nil
	}
	objects, err := s.client.List(ctx, plainObjectPrefix)
	if err != nil {
		return err
	}
	for _, listed := range objects {
		if err := s.deleteIfExpired(ctx, listed.Name); err != nil {
			return err
		}
	}
	return nil
}

func (s *Sweeper) deleteIfExpired(ctx context.Context, name string) error {
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
