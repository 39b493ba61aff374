package fleet

import (
	"context"

	"amaranthstile/instance"
	"amaranthstile/operator"
	"amaranthstile/ticket"
)

// SubmitTicket sends a change ticket to the administration address of instance n, as an operator would.
// It does not retry.
func (f *Fleet) SubmitTicket(ctx context.Context, n int, t *ticket.Ticket) (ticket.Record, error) {
	c := operator.Client{Address: f.Instances[n].Addresses().Admin.String(), Key: OperatorKey}
	return c.Submit(ctx, t.Encode())
}

// WaitRevision waits until every running instance applies revision r or a later one.
func (f *Fleet) WaitRevision(ctx context.Context, r ticket.Revision) error {
	return f.Wait(ctx, func(s instance.State) bool { return s.Revision >= uint64(r) })
}
