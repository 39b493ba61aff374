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

// Options configure a measurement.
type Options struct {
	// Sizes are the numbers of instances of the fleets. Each size is measured in a separate run.
	Sizes []int
	// Endpoints is the number of backend servers at each instance.
	Endpoints int
	// Window is how long each run is measured after the fleet has settled.
	Window time.Duration
	// TicketsPerSecond is the rate at which tickets are submitted during the window. 0 means none.
	TicketsPerSecond float64
	Out              io.Writer
}

const (
	// settleDuration is the time between the start of the fleet and the window.
	settleDuration = 3 * time.Second
	// startTimeout bounds the start of the fleet and the settling time.
	startTimeout = 2 * time.Minute
	domainCount  = 8
	// serviceCount is the number of services that the endpoints are distributed over.
	serviceCount = 16
)

// measurement is the result of one run. Values are per instance unless stated otherwise.
type measurement struct {
	instances              int
	cpuPercent             float64 // of one core
	heapBytes              float64
	residentBytes          float64
	platformCallsPerSecond float64 // of the whole fleet
	startDuration          time.Duration
	control                Traffic
}

// Traffic is the control traffic that the instances send to each other, per instance and second.
type Traffic struct {
	Bytes    float64
	Messages float64
}

// Run measures a fleet of each size and prints one line per run.
func Run(ctx context.Context, o Options) error {
	t := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t,
		"instances\tendpoints\tcpu %/instance\theap kB/instance\tresident kB/instance\tcontrol B/s/instance\tmessages/s/instance\tplatform calls/s\tstart")
	for _, n := range o.Sizes {
		m, err := measureFleet(ctx, o, n)
		if err != nil {
			return fmt.Errorf("%d instances: %w", n, err)
		}
		_, _ = fmt.Fprintf(t, "%d\t%d\t%.3f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%v\n", m.instances, m.instances*o.Endpoints,
			m.cpuPercent, m.heapBytes/1e3, m.residentBytes/1e3, m.control.Bytes, m.control.Messages,
			m.platformCallsPerSecond, m.startDuration.Round(time.Millisecond))
		_ = t.Flush()
	}
	return nil
}

// measureFleet starts a fleet of n instances and measures it.
func measureFleet(ctx context.Context, o Options, n int) (measurement, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout+o.Window)
	defer cancel()
	baseline, err := readUsage()
	if err != nil {
		return measurement{}, err
	}
	start := time.Now()
	f, err := startFleet(ctx, o, n)
	if err != nil {
		return measurement{}, err
	}
	defer f.Close()
	m := measurement{instances: n, startDuration: time.Since(start)}
	wait(ctx, settleDuration)
	return m, m.measure(ctx, o, f, baseline)
}

// measure measures the fleet during one window. Memory is counted relative to the baseline, which was taken before the
// fleet was started.
func (m *measurement) measure(ctx context.Context, o Options, f *fleet.Fleet, baseline usage) error {
	before, err := readUsage()
	if err != nil {
		return err
	}
	calls, control := platformCalls(f), controlTraffic(f)
	if err := submitTickets(ctx, o, f); err != nil {
		return err
	}
	after, err := readUsage()
	if err != nil {
		return err
	}
	seconds := after.takenAt.Sub(before.takenAt).Seconds()
	instanceCount := float64(m.instances)
	m.cpuPercent = 100 * (after.cpu - before.cpu).Seconds() / seconds / instanceCount
	m.heapBytes = float64(after.heap-baseline.heap) / instanceCount
	m.residentBytes = float64(after.resident-baseline.resident) / instanceCount
	m.platformCallsPerSecond = float64(platformCalls(f)-calls) / seconds
	m.control = controlTraffic(f).rateSince(control, seconds*instanceCount)
	return nil
}

// submitTickets waits until the window is over and meanwhile submits tickets. It waits 1/TicketsPerSecond after each
// submission, so the rate is lower than TicketsPerSecond by the time that submissions take.
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

// startFleet starts a fleet of n instances with their backend servers.
func startFleet(ctx context.Context, o Options, n int) (*fleet.Fleet, error) {
	f, err := fleet.Start(fleet.Options{Domains: domainNames(), Region: "region", Instances: n})
	if err != nil {
		return nil, err
	}
	if err := addBackends(ctx, o, f); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// addBackends starts the backend servers and waits until the fleet is ready.
func addBackends(ctx context.Context, o Options, f *fleet.Fleet) error {
	for i := range f.Instances {
		for e := range o.Endpoints {
			b := backendstandin.Options{
				ID:      fmt.Sprintf("b-%d-%d", i, e),
				Service: fmt.Sprintf("service-%d", (i+e)%serviceCount),
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
	for n := range domainCount {
		out = append(out, fmt.Sprintf("domain-%d", n))
	}
	return out
}

// platformCalls returns the number of calls to the platform so far.
func platformCalls(f *fleet.Fleet) uint64 {
	sum := uint64(0)
	for _, n := range f.Store.Calls() {
		sum += n
	}
	return sum
}

// wait waits for the duration d, or until ctx ends if that is sooner.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
