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
	// settleDuration is how long the fleet runs under load before the first fault and after the platform outage.
	settleDuration = 2 * time.Second
	// ejectionLimit is how soon every instance must eject a failing backend server.
	ejectionLimit = 4 * time.Second
	// outageDuration is how long the platform is unavailable.
	outageDuration = 6 * time.Second
	// stopTimeout is the time that a planned stop may take.
	stopTimeout = 20 * time.Second
	// revocationLimit is how soon every instance must reject a revoked key.
	revocationLimit = 5 * time.Second
	// heavyFactor is how many times its rate limit the heavy account sends.
	heavyFactor = 3
	// postEvery makes every postEvery-th request a POST, which must not be repeated.
	postEvery = 4
	// runTimeout bounds the whole demo.
	runTimeout = 2 * time.Minute
)

// Options configure a demo.
type Options struct {
	// Out receives the table of results.
	Out    io.Writer
	Events *event.Logger
}

// demo is a demo in progress.
type demo struct {
	fleet    *fleet.Fleet
	report   report
	callLogs map[string]*fleet.CallLog
}

// Run runs the whole demo and reports whether every check passed.
func Run(ctx context.Context, o Options) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	start := time.Now()
	f, err := startFleet(ctx, o.Events)
	if err != nil {
		return false, err
	}
	defer f.Close()
	_, _ = fmt.Fprintf(o.Out, "%d instances in %d failure domains and %d endpoints were ready after %v\n",
		len(f.Instances), len(domains()), len(f.Backends), time.Since(start).Round(time.Millisecond))
	d := &demo{fleet: f, callLogs: make(map[string]*fleet.CallLog)}
	if err := d.run(ctx); err != nil {
		return false, err
	}
	d.checkGuarantees()
	d.report.print(o.Out)
	return d.report.passed(), nil
}

// run puts load on the fleet, injects the faults one after the other and checks the rate limits.
func (d *demo) run(ctx context.Context) error {
	loadCtx, stopLoad := context.WithCancel(ctx)
	var loads sync.WaitGroup
	start := time.Now()
	for n, a := range accounts() {
		d.startLoad(loadCtx, &loads, a, n == 0)
	}
	err := d.runFaults(ctx)
	stopLoad()
	loads.Wait()
	d.checkRateLimits(time.Since(start))
	return err
}

// startLoad starts to send requests at half of an account's rate limit, or at heavyFactor times the limit for the heavy
// account.
func (d *demo) startLoad(ctx context.Context, loads *sync.WaitGroup, a account, heavy bool) {
	rate := a.rate / 2
	if heavy {
		rate = a.rate * heavyFactor
	}
	callLog := &fleet.CallLog{}
	d.callLogs[a.name] = callLog
	l := &fleet.Load{
		Fleet:     d.fleet,
		Client:    fleet.NewClient(a.name, key(a)),
		CallLog:   callLog,
		Rate:      rate,
		Services:  serviceNames(),
		PostEvery: postEvery,
	}
	loads.Go(func() { l.Run(ctx) })
}

// runFaults injects the faults and checks how the fleet responds to each.
func (d *demo) runFaults(ctx context.Context) error {
	wait(ctx, settleDuration)
	d.failBackend(ctx)
	d.interruptPlatform(ctx)
	d.stopInstance(ctx)
	return d.revokeKey(ctx)
}

// failBackend makes one backend server fail its requests while its health checks succeed, and measures how long it takes
// until every instance sees it as ejected.
func (d *demo) failBackend(ctx context.Context) {
	failing := d.fleet.Backends[0]
	failing.Server.SetFaults(backendstandin.Faults{ErrorPercent: 100})
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, ejectionLimit)
	defer cancel()
	err := d.fleet.Wait(ctx, func(s instance.State) bool { return seesEjected(s, failing.Options.ID) })
	elapsed := time.Since(start)
	failing.Server.SetFaults(backendstandin.Faults{})
	d.report.add("every instance ejects a failing backend server", ejectionLimit.String(), err == nil,
		"%v", elapsed.Round(time.Millisecond))
}

// seesEjected reports whether an instance with state s sees the backend server as ejected.
func seesEjected(s instance.State, id string) bool {
	for _, r := range s.Instances {
		for _, e := range r.Endpoints {
			if e.Backend == id && e.State == membership.Ejected {
				return true
			}
		}
	}
	return false
}

// interruptPlatform makes the platform unavailable while the load continues.
func (d *demo) interruptPlatform(ctx context.Context) {
	d.fleet.Platform.SetFaults(standin.Faults{Unavailable: true})
	before := d.countCode(result.NoStanding)
	wait(ctx, outageDuration)
	refused := d.countCode(result.NoStanding) - before
	d.fleet.Platform.SetFaults(standin.Faults{})
	d.report.add("no request is refused while the platform is unavailable", "0 refused", refused == 0,
		"%d refused in %v", refused, outageDuration)
	wait(ctx, settleDuration)
}

// stopInstance performs a planned stop of one instance under load.
func (d *demo) stopInstance(ctx context.Context) {
	last := len(d.fleet.Instances) - 1
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	start := time.Now()
	err := d.fleet.Instances[last].Stop(ctx)
	d.report.add("a planned stop is graceful", "no request interrupted", err == nil,
		"stopped in %v", time.Since(start).Round(time.Millisecond))
}

// revokeKey revokes a client account's key and measures how long it takes until every instance rejects it.
func (d *demo) revokeKey(ctx context.Context) error {
	a := accounts()[len(accounts())-1]
	t := &ticket.Ticket{Number: 2, Accounts: map[string]*ticket.Account{a.name: withoutKey(a)}}
	if _, err := d.fleet.SubmitTicket(ctx, 1, t); err != nil {
		return err
	}
	elapsed := d.waitUntilRejected(ctx, a)
	d.report.add("every instance rejects a revoked key", revocationLimit.String(), elapsed < revocationLimit,
		"%v", elapsed.Round(time.Millisecond))
	return nil
}

// waitUntilRejected waits until every running instance rejects the account's key, or until twice revocationLimit has
// passed, and returns how long that took.
func (d *demo) waitUntilRejected(ctx context.Context, a account) time.Duration {
	start := time.Now()
	client := fleet.NewClient("withdrawn", key(a))
	for _, i := range d.fleet.Running() {
		for ctx.Err() == nil && time.Since(start) < 2*revocationLimit {
			call := client.Send(ctx, i.Addresses().Clients.AddrPort, "GET", "/roster/turn")
			if call.Code == result.KeyRejected {
				break
			}
		}
	}
	return time.Since(start)
}

// countCode returns how many responses to all accounts had a result code.
func (d *demo) countCode(code result.Code) int {
	n := 0
	for _, l := range d.callLogs {
		n += l.CountOutcomes().Codes[code]
	}
	return n
}

// wait waits for the duration d, or until ctx ends if that is sooner.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
