// Package owner serializes access to state: an actor owns the state and runs functions on it one at a time.
package owner

import (
	"io"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/phuslu/log"
)

// Owner is an actor that owns some state. It runs functions on this state one at a time, in the order in which they
// were sent.
type Owner struct {
	system  *actor.ActorSystem
	pid     *actor.PID
	stopped chan struct{}
}

// task is the message type of the actor. The channel done is closed when run has returned or panicked.
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
		defer close(m.done) // also after a panic, so that the caller of Do doesn't wait forever
		m.run()
	case *actor.Stopped:
		close(o.stopped)
	}
}

// Do runs f in the actor and waits until f returns. After Stop it does nothing.
func (o *Owner) Do(f func()) {
	t := task{run: f, done: make(chan struct{})}
	o.system.Root.Send(o.pid, t)
	select {
	case <-t.done:
	case <-o.stopped:
	}
}

// DoAsync runs f in the actor without waiting for it.
func (o *Owner) DoAsync(f func()) { o.system.Root.Send(o.pid, task{run: f, done: make(chan struct{})}) }

// Stop ends the actor once it has run the functions that were sent before, and waits for that.
func (o *Owner) Stop() {
	o.system.Root.Poison(o.pid)
	<-o.stopped
}

// NewSystem returns an actor system that discards the log lines of the actor library. The program logs its own numbered
// events instead.
func NewSystem() *actor.ActorSystem {
	quiet := &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
	return actor.NewActorSystem(actor.WithLoggerFactory(always[*actor.ActorSystem](quiet.Slog())))
}

// always returns a function that ignores its argument and returns v.
func always[A, V any](v V) func(A) V { return func(A) V { return v } }
