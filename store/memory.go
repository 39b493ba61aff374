package store

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"amaranthstile/result"
)

// Memory is the object API in memory: the base of the stand-in, and a fake for tests.
type Memory struct {
	mu      sync.Mutex
	last    Version
	objects map[string]Object
	changed chan struct{}
	calls   map[CallKind]uint64

	// WatchWait ends a watch without a change; 0 lets it wait until its context ends. It is set before use.
	WatchWait time.Duration
}

// CallKind names a kind of call for the platform's count.
type CallKind string

// The kinds of call that the platform counts.
const (
	CallGet    CallKind = "get"
	CallList   CallKind = "list"
	CallPut    CallKind = "put"
	CallDelete CallKind = "delete"
	CallWatch  CallKind = "watch"
)

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{
		objects: make(map[string]Object),
		changed: make(chan struct{}),
		calls:   make(map[CallKind]uint64),
	}
}

// Calls returns how many calls of each kind were made.
func (m *Memory) Calls() map[CallKind]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[CallKind]uint64, len(m.calls))
	for k, v := range m.calls {
		out[k] = v
	}
	return out
}

// Get implements Client.
func (m *Memory) Get(_ context.Context, name string) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls[CallGet]++
	if err := CheckName(name); err != nil {
		return Object{}, err
	}
	return m.get(name)
}

func (m *Memory) get(name string) (Object, error) {
	o, ok := m.objects[name]
	if !ok {
		return Object{}, result.New(result.PlatformNotFound, "no object %s", name)
	}
	return o, nil
}

// List implements Client.
func (m *Memory) List(_ context.Context, prefix string) ([]Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls[CallList]++
	if err := CheckPrefix(prefix); err != nil {
		return nil, err
	}
	var out []Object
	for name, o := range m.objects {
		if strings.HasPrefix(name, prefix) {
			out = append(out, Object{Name: name, Version: o.Version})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out, nil
}

// Put implements Client.
func (m *Memory) Put(_ context.Context, name string, before Version, value []byte) (Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls[CallPut]++
	if err := CheckName(name); err != nil {
		return 0, err
	}
	if len(value) > MaxValueBytes {
		return 0, result.New(result.PlatformTooLarge, "value of %s has %d bytes", name, len(value))
	}
	if at := m.objects[name].Version; at != before {
		return 0, result.New(result.PlatformConflict, "%s is at version %d, not %d", name, at, before)
	}
	m.last++
	m.objects[name] = Object{Name: name, Version: m.last, Value: append([]byte(nil), value...)}
	m.announce()
	return m.last, nil
}

// Delete implements Client.
func (m *Memory) Delete(_ context.Context, name string, before Version) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls[CallDelete]++
	if err := CheckName(name); err != nil {
		return err
	}
	o, err := m.get(name)
	if err != nil {
		return err
	}
	if o.Version != before {
		return result.New(result.PlatformConflict, "%s is at version %d, not %d", name, o.Version, before)
	}
	delete(m.objects, name)
	m.announce()
	return nil
}

// Watch implements Client.
func (m *Memory) Watch(ctx context.Context, name string, after Version) (Object, error) {
	m.mu.Lock()
	m.calls[CallWatch]++
	m.mu.Unlock()
	if err := CheckName(name); err != nil {
		return Object{}, err
	}
	if m.WatchWait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, m.WatchWait)
		defer cancel()
	}
	for {
		m.mu.Lock()
		o, err := m.get(name)
		changed := m.changed
		m.mu.Unlock()
		if err == nil && o.Version > after {
			return o, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return o, err
		}
	}
}

// announce wakes every waiting watch; the caller holds the lock.
func (m *Memory) announce() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Clone returns an independent copy of the present state.
func (m *Memory) Clone() *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := NewMemory()
	c.last = m.last
	for k, v := range m.objects {
		c.objects[k] = v
	}
	return c
}
