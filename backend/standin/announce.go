package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"amaranthstile/backend"
	"amaranthstile/membership"
	"amaranthstile/result"
)

// Announcer announces a stand-in to the instance in its slot and renews the lease.
type Announcer struct {
	slot         string // base URL of the instance's slot address
	announcement backend.Announcement
	client       *http.Client
	lease        backend.Lease
}

// NewAnnouncer returns an announcer; no call is made.
func NewAnnouncer(slot netip.AddrPort, a backend.Announcement) *Announcer {
	return &Announcer{
		slot:         "http://" + slot.String(),
		announcement: a,
		client:       &http.Client{Timeout: time.Second},
	}
}

// Run announces and renews until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if a.lease.ID == "" || a.renew(ctx) != nil {
			_ = a.Announce(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(backend.RenewInterval):
		}
	}
}

// Announce makes one announcement.
func (a *Announcer) Announce(ctx context.Context) error {
	return a.post(ctx, backend.PathAnnounce, a.announcement, &a.lease)
}

func (a *Announcer) renew(ctx context.Context) error {
	return a.post(ctx, backend.PathRenew, backend.LeaseRequest{Lease: a.lease.ID}, &a.lease)
}

// Drain takes the stand-in out of new work.
func (a *Announcer) Drain(ctx context.Context) error {
	return a.post(ctx, backend.PathDrain, backend.LeaseRequest{Lease: a.lease.ID}, nil)
}

// Leave removes the stand-in.
func (a *Announcer) Leave(ctx context.Context) error {
	return a.post(ctx, backend.PathLeave, backend.LeaseRequest{Lease: a.lease.ID}, nil)
}

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
		return result.New(result.LeaseUnknown, "slot address answered %d", resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// Announcement describes a stand-in with these options at an address.
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
