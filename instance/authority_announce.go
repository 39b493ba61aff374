package instance

import (
	"context"
	"errors"
	"slices"
	"syscall"

	"amaranthstile/authority"
	"amaranthstile/membership"
	"amaranthstile/result"
	"amaranthstile/ticket"
)

// Announce implements ticket.Announcer.
func (m *authorityManager) Announce(ctx context.Context, e ticket.Entry) error {
	var a *authority.Announcement
	m.update(func(l *authority.Lease) bool {
		a = l.Announce(e)
		return true
	})
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	acknowledged := make(chan string)
	recipients := slices.DeleteFunc(a.Recipients(), func(w ticket.RosterMember) bool { return w.ID == string(m.self.ID) })
	for _, w := range recipients {
		go func() {
			id := ""
			if m.sendHold(ctx, w, e) {
				id = w.ID
			}
			select {
			case acknowledged <- id:
			case <-ctx.Done():
			}
		}()
	}
	for range recipients {
		if a.Done() {
			return nil
		}
		select {
		case id := <-acknowledged:
			a.Acknowledge(id)
		case <-ctx.Done():
		}
	}
	if !a.Done() {
		return result.New(result.WitnessesMissing, "revision %d: too few witnesses could be reached to hold the change", e.Revision)
	}
	return nil
}

// sendHold asks one witness to hold a change. It reports whether the witness holds it or its process has certainly
// ended. A refused connection shows that no process listens at the address.
func (m *authorityManager) sendHold(ctx context.Context, w ticket.RosterMember, e ticket.Entry) bool {
	err := m.client.Call(ctx, w.Control.String(), methodHold, holdRequest{Witness: membership.ID(w.ID), Entry: e}, nil)
	return err == nil || result.Is(err, result.WitnessGone) || errors.Is(err, syscall.ECONNREFUSED)
}

// Resolved implements ticket.Announcer. It does nothing, since a pending change is settled when its revision comes
// into force.
func (m *authorityManager) Resolved(ticket.Entry, bool) {}
