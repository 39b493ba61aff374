package ticket_test

import (
	"context"
	"iter"
	"slices"
	"strings"

	"pgregory.net/rapid"

	"amaranthstile/result"
	"amaranthstile/store"
)

// fault is what happens to one call at the platform.
type fault int

const (
	noFault       fault = iota
	unavailable             // refused without effect
	responseLost       // a write takes effect, its answer is lost
	requestLost         // a write has no effect, and nobody is told
	delayed          // a write takes effect later, its answer is lost
	staleRead            // a read sees an earlier state
)

// fakePlatform is the platform with every state that it had, so that a read can be stale.
type fakePlatform struct {
	t      *rapid.T
	states []map[string]store.Object // the last is the present one
	lastVersion   store.Version
	delayedWrites   []func()
	onWrite  func(c *client, name string, value []byte)
}

func newFakePlatform(t *rapid.T) *fakePlatform {
	return &fakePlatform{t: t, states: []map[string]store.Object{{}}}
}

func (w *fakePlatform) current() map[string]store.Object { return w.states[len(w.states)-1] }

// applyWrite writes or, with a nil value, deletes an object on its condition.
func (w *fakePlatform) applyWrite(c *client, name string, before store.Version, value []byte) (store.Version, error) {
	at, ok := w.current()[name]
	if at.Version != before || (value == nil && !ok) {
		return 0, result.New(result.PlatformConflict, "%s", name)
	}
	next := make(map[string]store.Object, len(w.current())+1)
	for k, o := range w.current() {
		next[k] = o
	}
	delete(next, name)
	if value != nil {
		w.lastVersion++
		next[name] = store.Object{Name: name, Version: w.lastVersion, Value: value}
	}
	w.states = append(w.states, next)
	w.onWrite(c, name, value)
	return w.lastVersion, nil
}

// client is one instance's way to the world. Each call first gives control to the scheduler, which sets the fault.
type client struct {
	id    int
	world *fakePlatform
	yield func(struct{}) bool
	fault fault
}

// start runs f up to its first call; next runs it to the following one, and stop lets it crash there.
func (c *client) start(f func()) (next func() (struct{}, bool), stop func()) {
	return iter.Pull(func(yield func(struct{}) bool) {
		c.yield = yield
		f()
	})
}

// awaitScheduler waits for the scheduler; an error means that the call is refused, or that the instance crashed.
func (c *client) awaitScheduler() error {
	if !c.yield(struct{}{}) || c.fault == unavailable {
		return result.New(result.PlatformUnavailable, "away")
	}
	return nil
}

// visibleState is the state that a read sees.
func (c *client) visibleState() map[string]store.Object {
	w := c.world
	if c.fault != staleRead {
		return w.current()
	}
	back := rapid.IntRange(1, 6).Draw(w.t, "back")
	return w.states[max(0, len(w.states)-1-back)]
}

func (c *client) Get(_ context.Context, name string) (store.Object, error) {
	if err := c.awaitScheduler(); err != nil {
		return store.Object{}, err
	}
	o, ok := c.visibleState()[name]
	if !ok {
		return o, result.New(result.PlatformNotFound, "%s", name)
	}
	return o, nil
}

func (c *client) List(_ context.Context, prefix string) ([]store.Object, error) {
	if err := c.awaitScheduler(); err != nil {
		return nil, err
	}
	var out []store.Object
	for name, o := range c.visibleState() {
		if strings.HasPrefix(name, prefix) {
			out = append(out, store.Object{Name: name, Version: o.Version})
		}
	}
	slices.SortFunc(out, func(a, b store.Object) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

func (c *client) Put(_ context.Context, name string, before store.Version, value []byte) (store.Version, error) {
	return c.write(name, before, append([]byte{}, value...))
}

func (c *client) Delete(_ context.Context, name string, before store.Version) error {
	_, err := c.write(name, before, nil)
	return err
}

func (c *client) write(name string, before store.Version, value []byte) (store.Version, error) {
	if err := c.awaitScheduler(); err != nil {
		return 0, err
	}
	switch c.fault {
	case responseLost:
		_, _ = c.world.applyWrite(c, name, before, value)
	case delayed:
		from := *c // the submission that it belongs to may be over when it takes effect
		c.world.delayedWrites = append(c.world.delayedWrites, func() { _, _ = c.world.applyWrite(&from, name, before, value) })
	case requestLost:
	default:
		return c.world.applyWrite(c, name, before, value)
	}
	return 0, result.New(result.PlatformOutcomeUnknown, "%s", name)
}

// Watch is used by no submission.
func (c *client) Watch(ctx context.Context, name string, _ store.Version) (store.Object, error) {
	return c.Get(ctx, name)
}
