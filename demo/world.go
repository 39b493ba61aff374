// Package demo runs a small fleet on embedded stand-ins through load and faults, and checks what the fleet promises.
package demo

import (
	"context"
	"fmt"
	"time"

	backendstandin "amaranthstile/backend/standin"
	"amaranthstile/event"
	"amaranthstile/fleet"
	"amaranthstile/ticket"
)

const (
	instances   = 8
	slots       = 3
	serviceTime = 5 * time.Millisecond
	floor       = 0.5
	region      = "litoral"
)

// service is a service of the demo's fleet.
type service struct {
	name      string
	endpoints int
}

// account is a client account of the demo's fleet.
type account struct {
	name  string
	rate  float64 // requests per second
	burst int
}

func domains() []string { return []string{"norte", "sur", "este", "oeste"} }

func services() []service {
	return []service{{"roster", 8}, {"turnos", 14}, {"compuertas", 8}, {"cuotas", 8}}
}

func serviceNames() []string {
	var out []string
	for _, s := range services() {
		out = append(out, s.name)
	}
	return out
}

func accounts() []account {
	return []account{{"regantes-norte", 120, 60}, {"regantes-sur", 120, 60}, {"guardas", 60, 30}, {"asamblea", 40, 20}}
}

// key is the key of an account in the demo's fleet, whose addresses are on loopback only.
func key(a account) string { return "key-of-" + a.name }

// world starts the fleet with its backend servers and the first ticket.
func world(ctx context.Context, events *event.Logger) (*fleet.Fleet, error) {
	f, err := fleet.Start(fleet.Options{Domains: domains(), Region: region, Instances: instances, Events: events})
	if err != nil {
		return nil, err
	}
	if err := furnish(ctx, f); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func furnish(ctx context.Context, f *fleet.Fleet) error {
	n := 0
	for _, s := range services() {
		for range s.endpoints {
			o := backendstandin.Options{ID: fmt.Sprintf("%s-%d", s.name, n), Service: s.name, Slots: slots, ServiceTime: serviceTime}
			if _, err := f.AddBackend(n%instances, o); err != nil {
				return err
			}
			n++
		}
	}
	if err := f.WaitReady(ctx, n); err != nil {
		return fmt.Errorf("the fleet does not get ready: %w", err)
	}
	record, err := f.SubmitTicket(ctx, 0, firstTicket())
	if err != nil {
		return err
	}
	return f.WaitRevision(ctx, record.Revision)
}

func firstTicket() *ticket.Ticket {
	t := &ticket.Ticket{
		Number:   1,
		Services: make(map[string]*ticket.Service),
		Routes:   make(map[string]*ticket.Route),
		Accounts: make(map[string]*ticket.Account),
	}
	for _, s := range services() {
		t.Services[s.name] = &ticket.Service{Floor: floor}
		t.Routes[s.name] = &ticket.Route{Prefix: "/" + s.name, Service: s.name}
	}
	for _, a := range accounts() {
		t.Accounts[a.name] = granted(a)
	}
	return t
}

// granted is the state of an account with its key.
func granted(a account) *ticket.Account {
	return &ticket.Account{Keys: []ticket.Hash{ticket.HashKey(key(a))}, Rate: a.rate, Burst: a.burst}
}

// withdrawn is the state of an account without a key.
func withdrawn(a account) *ticket.Account {
	return &ticket.Account{Rate: a.rate, Burst: a.burst}
}
