package instance

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"amaranthstile/link"
	"amaranthstile/result"
	"amaranthstile/ticket"
)

// methodManifest asks for the manifest of a whole state, methodChunk for one chunk of it.
const (
	methodManifest link.Method = "ticket.manifest"
	methodChunk    link.Method = "ticket.chunk"
)

const (
	// manifestTimeout bounds the call for a manifest, during which the other instance may have to encode its state.
	manifestTimeout = 10 * time.Second
	chunkTimeout    = 5 * time.Second
	// snapshotTTL is how long an encoded state is kept for further calls, so that one encoding serves all receivers.
	snapshotTTL = time.Minute
)

// chunkRequest asks for one chunk of the snapshot of a revision.
type chunkRequest struct {
	Revision ticket.Revision `json:"revision"`
	Chunk    int             `json:"chunk"`
}

// stateTransfer sends whole states between instances, in compressed chunks that are verified one by one.
type stateTransfer struct {
	state  configState
	client *link.ControlClient
	loaded func() bool

	mu       sync.Mutex
	snapshot *ticket.Snapshot
	madeAt   time.Time
}

func newStateTransfer(s configState, c *link.ControlClient, loaded func() bool) *stateTransfer {
	return &stateTransfer{state: s, client: c, loaded: loaded}
}

// currentSnapshot returns the snapshot to send: a recent one, or one that it encodes now.
func (t *stateTransfer) currentSnapshot() (*ticket.Snapshot, error) {
	if !t.loaded() {
		return nil, result.New(result.NotReady, "this instance has not loaded its configuration")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.snapshot != nil && time.Since(t.madeAt) < snapshotTTL {
		return t.snapshot, nil
	}
	s, err := t.state.Copy().Encode()
	if err != nil {
		return nil, err
	}
	t.snapshot, t.madeAt = s, time.Now()
	return s, nil
}

// dropExpired releases a snapshot that was not requested for snapshotTTL.
func (t *stateTransfer) dropExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.madeAt) >= snapshotTTL {
		t.snapshot = nil
	}
}

func (t *stateTransfer) handleManifest(context.Context, struct{}) (any, error) {
	s, err := t.currentSnapshot()
	if err != nil {
		return nil, err
	}
	time.AfterFunc(2*snapshotTTL, t.dropExpired)
	return s.Manifest, nil
}

func (t *stateTransfer) handleChunk(_ context.Context, request chunkRequest) (any, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.snapshot == nil || t.snapshot.Manifest.Revision != request.Revision {
		return nil, result.New(result.StateInvalid, "the snapshot of revision %d is no longer kept", request.Revision)
	}
	if request.Chunk < 0 || request.Chunk >= len(t.snapshot.Chunks) {
		return nil, result.New(result.StateInvalid, "no chunk %d", request.Chunk)
	}
	t.madeAt = time.Now()
	return t.snapshot.Chunks[request.Chunk], nil
}

// fetch loads the whole state of another instance. Its errors are those of the calls, or StateInvalid or
// SnapshotDamaged if the received data can't be verified. After an error, the state of this instance is unchanged.
func (t *stateTransfer) fetch(ctx context.Context, addr netip.AddrPort) error {
	var m ticket.Manifest
	if err := t.call(ctx, addr, manifestTimeout, methodManifest, struct{}{}, &m); err != nil {
		return err
	}
	if err := m.Validate(); err != nil {
		return err
	}
	chunks := make([][]byte, len(m.Chunks))
	for n := range chunks {
		if err := t.call(ctx, addr, chunkTimeout, methodChunk, chunkRequest{Revision: m.Revision, Chunk: n}, &chunks[n]); err != nil {
			return err
		}
		if err := m.VerifyChunk(n, chunks[n]); err != nil {
			return err
		}
	}
	s, err := ticket.DecodeConfigState(m, chunks)
	if err != nil {
		return err
	}
	if !t.state.Restore(s) {
		return result.New(result.StateInvalid, "the state of revision %d is older than the state of this instance", m.Revision)
	}
	return nil
}

func (t *stateTransfer) call(ctx context.Context, addr netip.AddrPort, limit time.Duration, m link.Method, params, out any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return t.client.Call(ctx, addr.String(), m, params, out)
}
