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
	fine       fault = iota
	away             // refused without effect
	answerLost       // a write takes effect, its answer is lost
	callLost         // a write has no effect, and nobody is told
	delayed          // a write takes effect later, its answer is lost
	stale            // a read sees an earlier state
)

// world is the platform with every state that it had, so that a read can be stale.
type world struct {
	t      *rapid.T
	states []map[string]store.Object // the last is the present one
	last   store.Version
	late   []func()
	wrote  func(c *client, name string, value []byte)
}

func newWorld(t *rapid.T) *world {
	return &world{t: t, states: []map[string]store.Object{{}}}
}

func (w *world) now() map[string]store.Object { return w.states[len(w.states)-1] }

// change writes or, with a nil value, deletes an object on its condition.
func (w *world) change(c *client, name string, before store.Version, value []byte) (store.Version, error) {
	at, ok := w.now()[name]
	if at.Version != before || (value == nil && !ok) {
		return 0, result.New(result.PlatformConflict, "%s", name)
	}
	next := make(map[string]store.Object, len(w.now())+1)
	for k, o := range w.now() {
		next[k] = o
	}
	delete(next, name)
	if value != nil {
		w.last++
		next[name] = store.Object{Name: name, Version: w.last, Value: value}
	}
	w.states = append(w.states, next)
	w.wrote(c, name, value)
	return w.last, nil
}

// client is one instance's way to the world. Each call first gives control to the scheduler, which sets the fault.
type client struct {
	id    int
	world *world
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

// turn waits for the scheduler; an error means that the call is refused, or that the instance crashed.
func (c *client) turn() error {
	if !c.yield(struct{}{}) || c.fault == away {
		return result.New(result.PlatformUnavailable, "away")
	}
	return nil
}

// seen is the state that a read sees.
func (c *client) seen() map[string]store.Object {
	w := c.world
	if c.fault != stale {
		return w.now()
	}
	back := rapid.IntRange(1, 6).Draw(w.t, "back")
	return w.states[max(0, len(w.states)-1-back)]
}

func (c *client) Get(_ context.Context, name string) (store.Object, error) {
	if err := c.turn(); err != nil {
		return store.Object{}, err
	}
	o, ok := c.seen()[name]
	if !ok {
		return o, result.New(result.PlatformNotFound, "%s", name)
	}
	return o, nil
}

func (c *client) List(_ context.Context, prefix string) ([]store.Object, error) {
	if err := c.turn(); err != nil {
		return nil, err
	}
	var out []store.Object
	for name, o := range c.seen() {
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
	if err := c.turn(); err != nil {
		return 0, err
	}
	switch c.fault {
	case answerLost:
		_, _ = c.world.change(c, name, before, value)
	case delayed:
		from := *c // the submission that it belongs to may be over when it takes effect
		c.world.late = append(c.world.late, func() { _, _ = c.world.change(&from, name, before, value) })
	case callLost:
	default:
		return c.world.change(c, name, before, value)
	}
	return 0, result.New(result.PlatformOutcomeUnknown, "%s", name)
}

// Watch is used by no submission.
func (c *client) Watch(ctx context.Context, name string, _ store.Version) (store.Object, error) {
	return c.Get(ctx, name)
}
