package store

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"amaranthstile/result"
)

// Memory is an in-memory implementation of Client. It backs the stand-in server and serves as a fake in tests.
type Memory struct {
	mu          sync.Mutex
	lastVersion Version
	objects     map[string]Object
	changed     chan struct{}
	calls       map[CallKind]uint64

	// WatchWait is how long a watch waits for a change; 0 means until its context ends. It must be set before use.
	WatchWait time.Duration
}

// CallKind is the kind of a call, by which the platform counts the calls.
type CallKind string

// The kinds of calls that the platform counts.
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
	return m.lookup(name)
}

func (m *Memory) lookup(name string) (Object, error) {
	o, ok := m.objects[name]
	if !ok {
		return Object{}, result.New(result.PlatformNotFound, "object %s does not exist", name)
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
func (m *Memory) Put(_ context.Context, name string, expected Version, value []byte) (Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls[CallPut]++
	if err := CheckName(name); err != nil {
		return 0, err
	}
	if len(value) > MaxValueBytes {
		return 0, result.New(result.PlatformTooLarge,
			"value of object %s has %d bytes, more than the maximum", name, len(value))
	}
	if current := m.objects[name].Version; current != expected {
		return 0, result.New(result.PlatformConflict, "object %s has version %d, not %d", name, current, expected)
	}
	m.lastVersion++
	m.objects[name] = Object{Name: name, Version: m.lastVersion, Value: append([]byte(nil), value...)}
	m.wakeWatches()
	return m.lastVersion, nil
}

// Delete implements Client.
func (m *Memory) Delete(_ context.Context, name string, expected Version) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls[CallDelete]++
	if err := CheckName(name); err != nil {
		return err
	}
	o, err := m.lookup(name)
	if err != nil {
		return err
	}
	if o.Version != expected {
		return result.New(result.PlatformConflict, "object %s has version %d, not %d", name, o.Version, expected)
	}
	delete(m.objects, name)
	m.wakeWatches()
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
		o, err := m.lookup(name)
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

// wakeWatches wakes every waiting watch. The caller must hold the lock.
func (m *Memory) wakeWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Clone returns an independent copy of the current state.
func (m *Memory) Clone() *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := NewMemory()
	c.lastVersion = m.lastVersion
	for k, v := range m.objects {
		c.objects[k] = v
	}
	return c
}
