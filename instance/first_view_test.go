package instance

import (
	"testing"

	"github.com/matryer/is"

	"amaranthstile/event"
	"amaranthstile/gossip"
	"amaranthstile/internal/owner"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/store"
	"amaranthstile/ticket"
)

// TestTicketBeforeFirstView applies a ticket before the first view is published, which happens when an operator
// submits a ticket while an instance still starts.
func TestTicketBeforeFirstView(t *testing.T) {
	is := is.New(t)
	system := owner.NewSystem()
	defer system.Shutdown()
	self := membership.Record{ID: "i", Domain: "norte"}
	m := &gossip.Members{Owner: owner.New(system)}
	calls := link.NewControlClient(link.SystemNetwork{}, nil)
	manager := newAuthorityManager(owner.New(system), self, m, calls, event.Discard())
	shares := newShareManager(owner.New(system), manager, m, calls, self.ID)
	c := newConfiguration(owner.New(system), store.NewMemory(), event.Discard(), manager, shares)
	first := &ticket.Ticket{Number: 1, Accounts: map[string]*ticket.Account{"a": {Rate: 1, Burst: 1}}}
	c.setPending([]ticket.Entry{{Revision: 1, Ticket: first}})
	is.True(c.Apply(ticket.Entry{Revision: 1, Ticket: first}))
	is.Equal(c.Revision(), ticket.Revision(1))
	a, ok := c.view.Load().Accounts.Account("a")
	is.True(ok)
	is.Equal(a.Rate, 1.0)
	is.Equal(shares.quota("a").Rate, shares.quotaInForce("a").Rate) // the shares use it, too
	is.True(shares.quota("a").Rate > 0)
}
