package fleet

import (
	"context"

	"amaranthstile/instance"
)

// Replace performs a planned replacement of instance n: it starts a new instance, waits until that one is ready,
// registers the backend servers of instance n there, and stops instance n.
func (f *Fleet) Replace(ctx context.Context, n int) error {
	replacement, err := f.AddInstance()
	if err != nil {
		return err
	}
	select {
	case <-replacement.Ready():
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := f.WaitMembers(ctx, len(f.Running())); err != nil {
		return err
	}
	if err := f.MoveBackends(n, len(f.Instances)-1); err != nil {
		return err
	}
	return f.Instances[n].Stop(ctx)
}

// WaitMembers waits until every running instance sees exactly n instances, including itself.
func (f *Fleet) WaitMembers(ctx context.Context, n int) error {
	return f.Wait(ctx, func(s instance.State) bool { return len(s.Instances) == n })
}
