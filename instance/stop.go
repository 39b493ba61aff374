package instance

import (
	"context"
	"time"

	"amaranthstile/event"
	"amaranthstile/internal/wait"
	"amaranthstile/result"
)

const (
	// drainNotice is how long other instances have to learn that this instance is leaving before its servers shut
	// down.
	drainNotice = 2 * time.Second
	// leaveNotice is how long the final leave message is spread before the sockets close.
	leaveNotice = 500 * time.Millisecond
)

// Stop shuts down gracefully. It announces that the instance is leaving, waits until other instances send it no new
// requests, finishes the requests in flight and closes. Requests still in flight when ctx ends get an error response, and
// Stop returns an error.
func (i *Instance) Stop(ctx context.Context) error {
	if i.stopping.Swap(true) {
		return nil
	}
	closing, cancel := i.requests.EndWith(ctx)
	defer cancel()
	i.options.Events.Log(event.InstanceDraining)
	i.members.Drain()
	wait.Sleep(ctx, drainNotice)
	i.requests.RefuseUnfinishable()
	var err error
	for _, s := range i.servers {
		if e := s.Shutdown(closing); e != nil {
			err = e
			_ = s.Close()
		}
	}
	interrupted := i.requests.Interrupted()
	if err == nil && interrupted > 0 {
		err = result.New(result.ShuttingDown, "%d requests could not be finished", interrupted)
	}
	i.idempotency.HandOver(ctx)
	i.discovery.removeSelf(ctx)
	i.members.Leave()
	wait.Sleep(ctx, leaveNotice)
	i.close()
	i.options.Events.Log(event.InstanceStopped, event.F("interrupted", interrupted))
	return err
}

// Kill stops the instance immediately, like a crash.
func (i *Instance) Kill() {
	if i.stopping.Swap(true) {
		return
	}
	for _, s := range i.servers {
		_ = s.Close()
	}
	i.close()
}

func (i *Instance) close() {
	i.cancel()
	i.listeners.close()
	i.control.Close()
	i.calls.Close()
	i.running.Wait()
	i.forwarder.Close()
	i.authority.owner.Stop()
	i.configuration.owner.Stop()
	i.shares.owner.Stop()
	i.backends.owner.Stop()
	i.members.Owner.Stop()
	i.system.Shutdown()
}
