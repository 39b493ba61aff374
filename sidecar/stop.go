package sidecar

import (
	"context"
	"net/http"
	"time"

	"amaranthstile/event"
	"amaranthstile/internal/wait"
)

const (
	// readyNotice is how long after the signal callers may still come: the platform asks each second and believes the
	// second miss.
	readyNotice = 2500 * time.Millisecond
	// stopMargin is how long before the end by force the last requests are ended and the process exits.
	stopMargin = 400 * time.Millisecond
)

// readyHandler tells the platform whether requests are taken, and serves the metrics.
func (i *Instance) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(i.options.ReadinessPattern, func(w http.ResponseWriter, _ *http.Request) {
		if !i.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Ready tells whether requests are taken: a configuration is in force, another instance is known and no stop began.
func (i *Instance) Ready() bool {
	return !i.stopping.Load() && i.configuration.version() > 0 && len(i.members.Directory().Records()) > 1
}

// Stop shuts down without cutting a request: it tells the platform and the other instances, serves on until they send
// nothing more, finishes what runs and closes. What still runs shortly before the end by force is cut.
func (i *Instance) Stop() {
	if i.stopping.Swap(true) {
		return
	}
	begun := time.Now()
	i.options.Events.Log(event.InstanceDraining)
	i.members.Drain()
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(i.bounds().GracePeriod-stopMargin))
	defer cancel()
	wait.Sleep(ctx, readyNotice)
	for _, s := range i.servers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
	i.members.Leave()
	i.close()
	i.options.Events.Log(event.InstanceStopped, event.F("took_ms", time.Since(begun).Milliseconds()))
}

// Kill stops at once, as a crash would.
func (i *Instance) Kill() {
	if i.stopping.Swap(true) {
		return
	}
	for _, s := range i.servers {
		_ = s.Close()
	}
	i.close()
}

// close ends everything that runs.
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
