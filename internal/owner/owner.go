// Package owner runs functions one at a time in an actor, each on state that the actor alone touches.
package owner

import (
	"io"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/phuslu/log"
)

// Owner runs functions one at a time in an actor, each on the state that the actor owns.
type Owner struct {
	system  *actor.ActorSystem
	pid     *actor.PID
	stopped chan struct{}
}

// task is the message of an owner: a function and its end.
type task struct {
	run  func()
	done chan struct{}
}

// New returns an owner in a system made by NewSystem.
func New(system *actor.ActorSystem) *Owner {
	o := &Owner{system: system, stopped: make(chan struct{})}
	o.pid = system.Root.Spawn(actor.PropsFromFunc(o.receive))
	return o
}

func (o *Owner) receive(c actor.Context) {
	switch m := c.Message().(type) {
	case task:
		defer close(m.done) // a task that panics must not leave its caller waiting
		m.run()
	case *actor.Stopped:
		close(o.stopped)
	}
}

// Do runs f in the actor and waits for its end. After Stop it does nothing.
func (o *Owner) Do(f func()) {
	t := task{run: f, done: make(chan struct{})}
	o.system.Root.Send(o.pid, t)
	select {
	case <-t.done:
	case <-o.stopped:
	}
}

// DoAsync runs f in the actor and does not wait for it.
func (o *Owner) DoAsync(f func()) { o.system.Root.Send(o.pid, task{run: f, done: make(chan struct{})}) }

// Stop ends the actor after the tasks that were sent before.
func (o *Owner) Stop() {
	o.system.Root.Poison(o.pid)
	<-o.stopped
}

// NewSystem returns an actor system whose own log goes nowhere: what matters is logged as numbered events.
func NewSystem() *actor.ActorSystem {
	quiet := &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
	return actor.NewActorSystem(actor.WithLoggerFactory(always[*actor.ActorSystem](quiet.Slog())))
}

// always returns a function that returns v whatever its argument.
func always[A, V any](v V) func(A) V { return func(A) V { return v } }
