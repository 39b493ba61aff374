package sidecar

import (
	"context"
	"net/http"
	"time"

	"amaranthstile/event"
	"amaranthstile/internal/httpserver"
	"amaranthstile/internal/wait"
)

const (
	// readinessNotice is how long after the signal clients may still connect: the platform checks the readiness each
	// second and acts on the second failed check in a row.
	readinessNotice = 2500 * time.Millisecond
	// exitTime is how long the process has to end after the last response and before the forced kill.
	exitTime = 300 * time.Millisecond
)

// readyHandler responds to the platform's readiness checks.
func (i *Instance) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(i.options.ReadinessPattern, httpserver.IgnoreBody(func(w http.ResponseWriter, _ *http.Request) {
		if !i.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	mux.HandleFunc("/", httpserver.IgnoreBody(http.NotFound))
	return mux
}

// Ready reports whether the instance takes requests: a configuration is in force, another instance is known and no
// shutdown has begun.
func (i *Instance) Ready() bool {
	return !i.stopping.Load() && i.configuration.view() != nil && len(i.members.Directory().Records()) > 1
}

// Stop shuts down gracefully. It reports itself as not ready to the platform and as draining to the other instances,
// serves requests until readinessNotice has passed, finishes the requests in flight and closes. Later requests are refused
// if the forced kill could come before their deadline; earlier ones that can't be finished get an error response.
func (i *Instance) Stop() {
	if i.stopping.Swap(true) {
		return
	}
	started := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(i.bounds().GracePeriod-exitTime-httpserver.ResponseTime))
	defer cancel()
	closing, cancelClosing := i.requests.EndWith(ctx)
	defer cancelClosing()
	i.options.Events.Log(event.InstanceDraining)
	i.members.Drain()
	wait.Sleep(ctx, readinessNotice)
	i.requests.RefuseUnfinishable()
	for _, s := range i.servers {
		if s.Shutdown(closing) != nil {
			_ = s.Close()
		}
	}
	i.members.Leave()
	i.close()
	i.options.Events.Log(event.InstanceStopped,
		event.F("took_ms", time.Since(started).Milliseconds()), event.F("interrupted", i.requests.Interrupted()))
}

// Kill stops immediately, as a crash would.
func (i *Instance) Kill() {
	if i.stopping.Swap(true) {
		return
	}
	for _, s := range i.servers {
		_ = s.Close()
	}
	i.close()
}

// close stops all background work and waits for its end.
func (i *Instance) close() {
	i.cancel()
	i.listeners.close()
	i.control.Close()
	i.calls.Close()
	i.running.Wait()
	i.forwarder.Close()
	i.members.Owner.Stop()
	i.system.Shutdown()
}
