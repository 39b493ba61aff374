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

// fault is the fault under which the fake platform executes one call.
type fault int

const (
	noFault      fault = iota
	unavailable        // the call is refused without effect
	responseLost       // a write takes effect, and its response is lost
	requestLost        // a write has no effect, and the client gets no response
	delayed            // a write takes effect later, and its response is lost
	staleRead          // a read returns an earlier state
)

// fakePlatform is the platform's object store. It keeps all its earlier states, so that a read can be stale.
type fakePlatform struct {
	t             *rapid.T
	states        []map[string]store.Object // the last one is the current state
	lastVersion   store.Version
	delayedWrites []func()
	onWrite       func(c *client, name string, value []byte)
}

func newFakePlatform(t *rapid.T) *fakePlatform {
	return &fakePlatform{t: t, states: []map[string]store.Object{{}}}
}

func (p *fakePlatform) current() map[string]store.Object { return p.states[len(p.states)-1] }

// applyWrite writes an object, or deletes it if value is nil, on the condition that its version is before.
func (p *fakePlatform) applyWrite(c *client, name string, before store.Version, value []byte) (store.Version, error) {
	current, ok := p.current()[name]
	if current.Version != before || (value == nil && !ok) {
		return 0, result.New(result.PlatformConflict, "%s", name)
	}
	next := make(map[string]store.Object, len(p.current())+1)
	for k, o := range p.current() {
		next[k] = o
	}
	delete(next, name)
	if value != nil {
		p.lastVersion++
		next[name] = store.Object{Name: name, Version: p.lastVersion, Value: value}
	}
	p.states = append(p.states, next)
	p.onWrite(c, name, value)
	return p.lastVersion, nil
}

// client is one instance's client of the fake platform. Each call first yields to the scheduler, which sets the fault.
type client struct {
	id       int
	platform *fakePlatform
	yield    func(struct{}) bool
	fault    fault
}

// start returns functions that control f: next runs f up to its next call, and stop makes it crash at that call.
func (c *client) start(f func()) (next func() (struct{}, bool), stop func()) {
	return iter.Pull(func(yield func(struct{}) bool) {
		c.yield = yield
		f()
	})
}

// awaitScheduler yields to the scheduler. It returns an error if the call is refused or the instance crashed.
func (c *client) awaitScheduler() error {
	if !c.yield(struct{}{}) || c.fault == unavailable {
		return result.New(result.PlatformUnavailable, "unavailable")
	}
	return nil
}

// visibleState returns the state that a read returns.
func (c *client) visibleState() map[string]store.Object {
	p := c.platform
	if c.fault != staleRead {
		return p.current()
	}
	age := rapid.IntRange(1, 6).Draw(p.t, "age")
	return p.states[max(0, len(p.states)-1-age)]
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
		_, _ = c.platform.applyWrite(c, name, before, value)
	case delayed:
		sender := *c // the write may take effect after its submission has ended
		c.platform.delayedWrites = append(c.platform.delayedWrites, func() { _, _ = c.platform.applyWrite(&sender, name, before, value) })
	case requestLost:
	default:
		return c.platform.applyWrite(c, name, before, value)
	}
	return 0, result.New(result.PlatformOutcomeUnknown, "%s", name)
}

// Watch is not used by submissions.
func (c *client) Watch(ctx context.Context, name string, _ store.Version) (store.Object, error) {
	return c.Get(ctx, name)
}
