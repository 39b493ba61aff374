package measure

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	backendstandin "amaranthstile/backend/standin"
	"amaranthstile/fleet"
	"amaranthstile/ticket"
)

// Options are the options of a measurement.
type Options struct {
	// Sizes are the numbers of instances, one run each.
	Sizes []int
	// Endpoints is the number of backend servers beside each instance.
	Endpoints int
	// Window is how long each run is measured once the fleet is settled.
	Window time.Duration
	// TicketsPerSecond are submitted during the window.
	TicketsPerSecond float64
	Out              io.Writer
}

const (
	settle     = 3 * time.Second
	startLimit = 2 * time.Minute
	domains    = 8
	// serviceSpread is how many services the endpoints are spread over.
	serviceSpread = 16
)

// point is what one run gave, per instance.
type point struct {
	instances   int
	cpuPercent  float64 // of one core
	heapBytes   float64
	resident    float64 // bytes
	callsPerSec float64 // platform calls of the whole fleet
	start       time.Duration
	control     Traffic
}

// Traffic is what the instances sent to each other for control, per instance and second.
type Traffic struct {
	Bytes    float64
	Messages float64
}

// Run runs the measurement and prints one line a run.
func Run(ctx context.Context, o Options) error {
	t := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "instances\tendpoints\tcpu %/instance\theap kB/instance\tresident kB/instance\tcontrol B/s/instance\tmessages/s/instance\tplatform calls/s\tstart")
	for _, n := range o.Sizes {
		p, err := run(ctx, o, n)
		if err != nil {
			return fmt.Errorf("%d instances: %w", n, err)
		}
		_, _ = fmt.Fprintf(t, "%d\t%d\t%.3f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%v\n", p.instances, p.instances*o.Endpoints, p.cpuPercent,
			p.heapBytes/1e3, p.resident/1e3, p.control.Bytes, p.control.Messages, p.callsPerSec, p.start.Round(time.Millisecond))
		_ = t.Flush()
	}
	return nil
}

func run(ctx context.Context, o Options, n int) (point, error) {
	ctx, cancel := context.WithTimeout(ctx, startLimit+o.Window)
	defer cancel()
	empty, err := readUsage()
	if err != nil {
		return point{}, err
	}
	start := time.Now()
	f, err := startFleet(ctx, o, n)
	if err != nil {
		return point{}, err
	}
	defer f.Close()
	p := point{instances: n, start: time.Since(start)}
	wait(ctx, settle)
	return p, p.measure(ctx, o, f, empty)
}

// measure fills in what one window gives.
func (p *point) measure(ctx context.Context, o Options, f *fleet.Fleet, empty usage) error {
	before, err := readUsage()
	if err != nil {
		return err
	}
	calls, control := callsOf(f), controlOf(f)
	if err := submitTickets(ctx, o, f); err != nil {
		return err
	}
	after, err := readUsage()
	if err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	each := float64(p.instances)
	p.cpuPercent = 100 * (after.cpu - before.cpu).Seconds() / seconds / each
	p.heapBytes = float64(after.heap-empty.heap) / each
	p.resident = float64(after.resident-empty.resident) / each
	p.callsPerSec = float64(callsOf(f)-calls) / seconds
	p.control = controlOf(f).since(control, seconds*each)
	return nil
}

// submitTickets submits tickets at their pace until the window is over.
func submitTickets(ctx context.Context, o Options, f *fleet.Fleet) error {
	end := time.Now().Add(o.Window)
	if o.TicketsPerSecond <= 0 {
		wait(ctx, o.Window)
		return ctx.Err()
	}
	for n := uint64(2); time.Now().Before(end); n++ {
		t := &ticket.Ticket{Number: n, Services: map[string]*ticket.Service{"service-0": {Floor: 0.5}}}
		if _, err := f.SubmitTicket(ctx, int(n)%len(f.Instances), t); err != nil {
			return err
		}
		wait(ctx, time.Duration(float64(time.Second)/o.TicketsPerSecond))
	}
	return ctx.Err()
}

func startFleet(ctx context.Context, o Options, n int) (*fleet.Fleet, error) {
	f, err := fleet.Start(fleet.Options{Domains: domainNames(), Region: "region", Instances: n})
	if err != nil {
		return nil, err
	}
	if err := furnish(ctx, o, f); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func furnish(ctx context.Context, o Options, f *fleet.Fleet) error {
	for i := range f.Instances {
		for e := range o.Endpoints {
			b := backendstandin.Options{
				ID:      fmt.Sprintf("b-%d-%d", i, e),
				Service: fmt.Sprintf("service-%d", (i+e)%serviceSpread),
				Slots:   3,
			}
			if _, err := f.AddBackend(i, b); err != nil {
				return err
			}
		}
	}
	return f.WaitReady(ctx, len(f.Instances)*o.Endpoints)
}

func domainNames() []string {
	var out []string
	for n := range domains {
		out = append(out, fmt.Sprintf("domain-%d", n))
	}
	return out
}

func callsOf(f *fleet.Fleet) uint64 {
	sum := uint64(0)
	for _, n := range f.Store.Calls() {
		sum += n
	}
	return sum
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
