// Package gossip runs the membership of one instance: it owns the state, carries out its actions over UDP and control
// calls, and publishes the directory of instances and endpoints.
package gossip

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"amaranthstile/event"
	"amaranthstile/internal/owner"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
)

const (
	// syncTimeout bounds one call of a synchronization.
	syncTimeout = 3 * time.Second
	// refusedEvery is the least time between two log lines on refused datagrams.
	refusedEvery = 10 * time.Second
	maxDatagram  = 2048
)

// MethodSync is one half of a synchronization of two views; membership.State describes it.
const MethodSync link.Method = "membership.sync"

// Members owns the membership state, carries out its actions and publishes the directory.
type Members struct {
	Owner         *owner.Owner
	state         *membership.State // touched in the owner only
	leaving       bool              // touched in the owner only
	view          atomic.Pointer[membership.Directory]
	conn          net.PacketConn
	Traffic       *link.Traffic
	Authenticator atomic.Pointer[membership.Authenticator]
	client        *link.ControlClient
	event         *event.Logger

	syncing   atomic.Bool
	Synced    chan struct{} // closed once the whole view of another instance was taken over
	syncOnce  sync.Once
	refusedAt time.Time // touched by the reader only
	running   sync.WaitGroup

	// OnNewerRevision is told of instances with a later ticket revision. It runs in the owner and returns at once.
	OnNewerRevision func(membership.NewerRevision)
}

// New returns the members of an instance that knows only itself; Run drives them.
func New(o *owner.Owner, self membership.Record, conn net.PacketConn, client *link.ControlClient, e *event.Logger) *Members {
	m := &Members{Owner: o, conn: conn, Traffic: &link.Traffic{}, Synced: make(chan struct{}), client: client, event: e}
	m.Authenticator.Store(membership.NewAuthenticator())
	m.state = membership.New(membership.Options{
		Self:   self,
		Config: membership.DefaultConfig(),
		Rand:   NewRand(),
		Now:    time.Now(),
	})
	m.view.Store(m.state.Directory())
	return m
}

// NewRand returns a generator with a seed that no other process has.
func NewRand() *mathrand.Rand {
	var seed [16]byte
	_, _ = rand.Read(seed[:])
	return mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}

// Directory returns the present view of the instances and endpoints.
func (m *Members) Directory() *membership.Directory { return m.view.Load() }

// All returns the records of the view.
func (m *Members) All() []*membership.Record {
	d := m.Directory()
	out := make([]*membership.Record, 0, len(d.Records()))
	for _, r := range d.Records() {
		out = append(out, r)
	}
	return out
}

// Stats returns the counters of the membership.
func (m *Members) Stats() (s membership.Stats) {
	m.Owner.Do(func() { s = m.state.Stats() })
	return s
}

// step runs one event of the state in the owner and carries out its actions.
func (m *Members) step(f func(now time.Time) []membership.Action) {
	m.Owner.Do(func() { m.carryOut(f(time.Now())) })
}

// SetEndpoints tells the endpoints in the own slots.
func (m *Members) SetEndpoints(e []membership.Endpoint) {
	m.step(func(now time.Time) []membership.Action { return m.state.SetSelf(now, e, m.leaving) })
}

// Drain tells that this instance takes no new work.
func (m *Members) Drain() {
	m.step(func(now time.Time) []membership.Action {
		m.leaving = true
		return m.state.SetSelf(now, m.state.Self().Endpoints, true)
	})
}

// Leave tells that this process ends.
func (m *Members) Leave() { m.step(m.state.Leave) }

// SetRevision tells the ticket revision in force here; it does not wait.
func (m *Members) SetRevision(r uint64) {
	m.Owner.DoAsync(func() { m.carryOut(m.state.SetRevision(time.Now(), r)) })
}

// Join gives addresses to ask while no other instance is known.
func (m *Members) Join(contacts []netip.AddrPort) { m.Owner.Do(func() { m.state.Join(contacts) }) }

// Run drives the state until ctx ends.
func (m *Members) Run(ctx context.Context) {
	m.running.Go(m.read)
	ticker := time.NewTicker(membership.DefaultConfig().TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = m.conn.Close()
			m.running.Wait()
			return
		case <-ticker.C:
			m.step(m.state.Tick)
		}
	}
}

// read takes datagrams until the socket is closed.
func (m *Members) read() {
	buffer := make([]byte, maxDatagram)
	for {
		n, sender, err := m.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		udp, ok := sender.(*net.UDPAddr)
		if !ok {
			continue
		}
		from := udp.AddrPort()
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		msg, err := m.open(buffer[:n])
		if err != nil {
			m.noteRefused(from, err)
			continue
		}
		m.step(func(now time.Time) []membership.Action { return m.state.Receive(now, from, msg) })
	}
}

func (m *Members) open(data []byte) (*membership.Message, error) {
	body, err := m.Authenticator.Load().Verify(data)
	if err != nil {
		return nil, err
	}
	return membership.DecodeMessage(body)
}

func (m *Members) noteRefused(from netip.AddrPort, err error) {
	if time.Since(m.refusedAt) < refusedEvery {
		return
	}
	m.refusedAt = time.Now()
	m.event.Log(event.MessageRefused, event.F("from", from.String()), event.F("code", int(result.CodeOf(err))))
}

// carryOut runs in the owner.
func (m *Members) carryOut(actions []membership.Action) {
	changed := false
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			m.send(a)
		case membership.SyncWith:
			m.startSync(a)
		case membership.DirectoryChanged:
			changed = true
		case membership.NewerRevision:
			if m.OnNewerRevision != nil {
				m.OnNewerRevision(a)
			}
		default:
			m.note(a)
		}
	}
	if changed {
		m.view.Store(m.state.Directory())
	}
}

func (m *Members) send(a membership.Send) {
	data, err := a.Message.Encode()
	if err != nil {
		return
	}
	data = m.Authenticator.Load().Sign(data)
	_, _ = m.conn.WriteTo(data, net.UDPAddrFromAddrPort(a.To))
	m.Traffic.AddMessage(len(data))
}

// note logs what operators want to know of.
func (m *Members) note(a membership.Action) {
	switch a := a.(type) {
	case membership.Joined:
		m.event.Log(event.MemberJoined, event.F("id", string(a.Record.ID)), event.F("domain", a.Record.Domain), event.F("control", a.Record.Control.String()))
	case membership.Suspected:
		m.event.Log(event.MemberSuspected, event.F("id", string(a.ID)))
	case membership.Ended:
		id := event.MemberFailed
		if a.Left {
			id = event.MemberLeft
		}
		m.event.Log(id, event.F("id", string(a.ID)))
	case membership.Refuted:
		m.event.Log(event.SuspicionRefuted, event.F("incarnation", a.Incarnation))
	case membership.AddressConflict:
		m.event.Log(event.MemberAddressTwice, event.F("id", string(a.ID)), event.F("by", string(a.Other)))
	}
}

// SyncWith synchronizes with the instance at an address that may not be a member yet, and waits for the end.
func (m *Members) SyncWith(addr netip.AddrPort) {
	var first *membership.SyncRequest
	m.Owner.Do(func() { first = m.state.StartSync() })
	if first != nil {
		m.sync(addr.String(), first)
	}
}

// startSync synchronizes with one instance, unless another synchronization is under way.
func (m *Members) startSync(a membership.SyncWith) {
	if m.syncing.Swap(true) {
		return
	}
	first := m.state.StartSync()
	m.running.Go(func() {
		defer m.syncing.Store(false)
		m.sync(a.Address.String(), first)
	})
}

func (m *Members) sync(addr string, first *membership.SyncRequest) {
	answer, err := m.exchange(addr, first)
	if err != nil {
		return // the next synchronization is with another instance
	}
	var next []*membership.SyncRequest
	m.step(func(now time.Time) (out []membership.Action) {
		next, out = m.state.ContinueSync(now, answer)
		return out
	})
	for _, r := range next {
		answer, err := m.exchange(addr, r)
		if err != nil {
			return
		}
		m.step(func(now time.Time) []membership.Action { return m.state.FinishSync(now, answer) })
	}
	m.syncOnce.Do(func() { close(m.Synced) })
}

func (m *Members) exchange(addr string, r *membership.SyncRequest) (*membership.SyncResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	data, err := membership.EncodeSync(r)
	if err != nil {
		return nil, err
	}
	var reply []byte
	if err := m.client.Call(ctx, addr, MethodSync, data, &reply); err != nil {
		return nil, err
	}
	answer := &membership.SyncResponse{}
	return answer, membership.DecodeSync(reply, answer)
}

// HandleSync answers the synchronization of another instance.
func (m *Members) HandleSync(_ context.Context, data []byte) (any, error) {
	request := &membership.SyncRequest{}
	if err := membership.DecodeSync(data, request); err != nil {
		return nil, err
	}
	var answer *membership.SyncResponse
	m.step(func(now time.Time) (out []membership.Action) {
		answer, out = m.state.HandleSync(now, request)
		return out
	})
	if answer == nil {
		return nil, result.New(result.ShuttingDown, "the instance stops")
	}
	return membership.EncodeSync(answer)
}

// Listen opens TCP and UDP on one address and port; port 0 looks for a number that is free in both.
func Listen(network link.Network, addr netip.AddrPort) (net.Listener, net.PacketConn, error) {
	const tries = 16
	for range tries {
		l, err := net.Listen("tcp", addr.String())
		if err != nil {
			return nil, nil, err
		}
		c, err := network.ListenPacket("udp", l.Addr().(*net.TCPAddr).AddrPort().String())
		if err == nil {
			return l, c, nil
		}
		_ = l.Close()
		if addr.Port() != 0 {
			return nil, nil, err
		}
	}
	return nil, nil, result.New(result.SettingsBadAddress, "listen.control: no port of %s is free in TCP and UDP", addr.Addr())
}
