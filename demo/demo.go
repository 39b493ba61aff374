package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	backendstandin "amaranthstile/backend/standin"
	"amaranthstile/event"
	"amaranthstile/fleet"
	"amaranthstile/instance"
	"amaranthstile/membership"
	"amaranthstile/result"
	"amaranthstile/store/standin"
	"amaranthstile/ticket"
)

const (
	settleTime = 2 * time.Second
	faultTime  = 4 * time.Second
	awayTime   = 6 * time.Second
	stopLimit  = 20 * time.Second
	// withdrawBound is how soon a withdrawn key must stop everywhere.
	withdrawBound = 5 * time.Second
	// heavyFactor is how many times its rate the heavy account sends.
	heavyFactor = 3
	// postEvery is how often a request is one that may not be repeated.
	postEvery = 4
	runLimit  = 2 * time.Minute
)

// Options are the options of a demo.
type Options struct {
	// Out gets the table.
	Out    io.Writer
	Events *event.Logger
}

// demo is a running demo.
type demo struct {
	fleet   *fleet.Fleet
	report  report
	ledgers map[string]*fleet.CallLog
}

// Run runs the whole demo and reports whether every promise held.
func Run(ctx context.Context, o Options) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	start := time.Now()
	f, err := world(ctx, o.Events)
	if err != nil {
		return false, err
	}
	defer f.Close()
	_, _ = fmt.Fprintf(o.Out, "%d instances in %d failure domains and %d endpoints got ready in %v\n",
		len(f.Instances), len(domains()), len(f.Backends), time.Since(start).Round(time.Millisecond))
	d := &demo{fleet: f, ledgers: make(map[string]*fleet.CallLog)}
	if err := d.run(ctx); err != nil {
		return false, err
	}
	d.check()
	d.report.print(o.Out)
	return d.report.held(), nil
}

// run puts load on the fleet and goes through the faults, one after the other.
func (d *demo) run(ctx context.Context) error {
	loadCtx, stopLoad := context.WithCancel(ctx)
	var running sync.WaitGroup
	start := time.Now()
	for n, a := range accounts() {
		d.startLoad(loadCtx, &running, a, n == 0)
	}
	err := d.faults(ctx)
	stopLoad()
	running.Wait()
	d.checkRates(time.Since(start))
	return err
}

// startLoad sends half of an account's rate, or several times the rate for the heavy one.
func (d *demo) startLoad(ctx context.Context, running *sync.WaitGroup, a account, heavy bool) {
	rate := a.rate / 2
	if heavy {
		rate = a.rate * heavyFactor
	}
	ledger := &fleet.CallLog{}
	d.ledgers[a.name] = ledger
	l := &fleet.Load{
		Fleet:     d.fleet,
		Client:    fleet.NewClient(a.name, key(a)),
		CallLog:    ledger,
		Rate:      rate,
		Services:  serviceNames(),
		PostEvery: postEvery,
	}
	running.Go(func() { l.Run(ctx) })
}

func (d *demo) faults(ctx context.Context) error {
	pause(ctx, settleTime)
	d.grayBackend(ctx)
	d.platformAway(ctx)
	d.stopInstance(ctx)
	return d.withdrawKey(ctx)
}

// grayBackend lets one backend server fail while it answers probes, and sees when all take it out of use.
func (d *demo) grayBackend(ctx context.Context) {
	gray := d.fleet.Backends[0]
	gray.Server.SetFaults(backendstandin.Faults{ErrorPercent: 100})
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, faultTime)
	defer cancel()
	err := d.fleet.Wait(ctx, func(s instance.State) bool { return ejected(s, gray.Options.ID) })
	took := time.Since(start)
	gray.Server.SetFaults(backendstandin.Faults{})
	d.report.add("a failing backend server goes out of use everywhere", faultTime.String(), err == nil, "%v", took.Round(time.Millisecond))
}

// ejected reports whether an instance takes the backend server for ejected.
func ejected(s instance.State, id string) bool {
	for _, r := range s.Instances {
		for _, e := range r.Endpoints {
			if e.Backend == id && e.State == membership.Ejected {
				return true
			}
		}
	}
	return false
}

// platformAway takes the platform away while the load goes on.
func (d *demo) platformAway(ctx context.Context) {
	d.fleet.Platform.SetFaults(standin.Faults{Unavailable: true})
	before := d.count(result.NoStanding)
	pause(ctx, awayTime)
	refused := d.count(result.NoStanding) - before
	d.fleet.Platform.SetFaults(standin.Faults{})
	d.report.add("the platform being away refuses nobody", "0 refused", refused == 0, "%d refused in %v", refused, awayTime)
	pause(ctx, settleTime)
}

// stopInstance stops one instance as planned, under load.
func (d *demo) stopInstance(ctx context.Context) {
	last := len(d.fleet.Instances) - 1
	ctx, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	start := time.Now()
	err := d.fleet.Instances[last].Stop(ctx)
	d.report.add("a planned stop is graceful", "no request cut", err == nil, "stopped in %v", time.Since(start).Round(time.Millisecond))
}

// withdrawKey withdraws a key and sees when it stops working on every instance.
func (d *demo) withdrawKey(ctx context.Context) error {
	a := accounts()[len(accounts())-1]
	t := &ticket.Ticket{Number: 2, Accounts: map[string]*ticket.Account{a.name: withdrawn(a)}}
	if _, err := d.fleet.SubmitTicket(ctx, 1, t); err != nil {
		return err
	}
	took := d.untilRejected(ctx, a)
	d.report.add("a withdrawn key stops everywhere", withdrawBound.String(), took < withdrawBound, "%v", took.Round(time.Millisecond))
	return nil
}

// untilRejected waits until every running instance refuses the account's key.
func (d *demo) untilRejected(ctx context.Context, a account) time.Duration {
	start := time.Now()
	caller := fleet.NewClient("withdrawn", key(a))
	for _, i := range d.fleet.Running() {
		for ctx.Err() == nil && time.Since(start) < 2*withdrawBound {
			call := caller.Send(ctx, i.Addresses().Clients.AddrPort, "GET", "/roster/turn")
			if call.Code == result.KeyRejected {
				break
			}
		}
	}
	return time.Since(start)
}

func (d *demo) count(code result.Code) int {
	n := 0
	for _, l := range d.ledgers {
		n += l.CountOutcomes().Codes[code]
	}
	return n
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
