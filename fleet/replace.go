package fleet

import (
	"context"

	"amaranthstile/instance"
)

// Replace replaces instance n by a new one as a planned replacement does: the new one gets ready, the backend
// servers announce themselves there, and the old one stops.
func (f *Fleet) Replace(ctx context.Context, n int) error {
	added, err := f.AddInstance()
	if err != nil {
		return err
	}
	select {
	case <-added.Ready():
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

// WaitMembers waits until every running instance sees just so many instances, itself included.
func (f *Fleet) WaitMembers(ctx context.Context, n int) error {
	return f.Wait(ctx, func(s instance.State) bool { return len(s.Instances) == n })
}
