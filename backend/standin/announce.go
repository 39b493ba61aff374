package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"amaranthstile/backend"
	"amaranthstile/membership"
	"amaranthstile/result"
)

// Announcer is the client with which a stand-in registers at an instance and renews its lease. It is safe for concurrent
// use.
type Announcer struct {
	slot         string // base URL of the instance's slot address
	announcement backend.Announcement
	client       *http.Client

	mu    sync.Mutex
	lease backend.Lease // guarded by mu
}

// NewAnnouncer returns an announcer for the slot address of an instance. It makes no call.
func NewAnnouncer(slot netip.AddrPort, a backend.Announcement) *Announcer {
	return &Announcer{
		slot:         "http://" + slot.String(),
		announcement: a,
		client:       &http.Client{Timeout: time.Second},
	}
}

// Run announces the stand-in and renews its lease until ctx ends. It announces again after a failed renewal.
func (a *Announcer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if a.leaseRequest().Lease == "" || a.renew(ctx) != nil {
			_ = a.Announce(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(backend.RenewInterval):
		}
	}
}

// Announce announces the stand-in once and stores the lease.
func (a *Announcer) Announce(ctx context.Context) error {
	return a.obtainLease(ctx, backend.PathAnnounce, a.announcement)
}

// renew renews the lease.
func (a *Announcer) renew(ctx context.Context) error {
	return a.obtainLease(ctx, backend.PathRenew, a.leaseRequest())
}

// obtainLease makes a call whose response is a lease, and stores that.
func (a *Announcer) obtainLease(ctx context.Context, path string, in any) error {
	var lease backend.Lease
	if err := a.post(ctx, path, in, &lease); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lease = lease
	return nil
}

// leaseRequest returns a request with the lease that was obtained last.
func (a *Announcer) leaseRequest() backend.LeaseRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return backend.LeaseRequest{Lease: a.lease.ID}
}

// Drain stops new requests from being sent to the stand-in.
func (a *Announcer) Drain(ctx context.Context) error {
	return a.post(ctx, backend.PathDrain, a.leaseRequest(), nil)
}

// Leave deregisters the stand-in.
func (a *Announcer) Leave(ctx context.Context) error {
	return a.post(ctx, backend.PathLeave, a.leaseRequest(), nil)
}

// post makes a call with a JSON body and decodes the response into out unless that is nil.
func (a *Announcer) post(ctx context.Context, path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.slot+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return result.New(result.LeaseUnknown, "the slot address responded with status %d", resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// Announcement returns the announcement of a stand-in with these options at an address.
func (o Options) Announcement(address netip.AddrPort) backend.Announcement {
	return backend.Announcement{
		ID:             o.ID,
		Service:        o.Service,
		Address:        address,
		Slots:          o.Slots,
		State:          membership.Active,
		EchoesExchange: true,
	}
}
