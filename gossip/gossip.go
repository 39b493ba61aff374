// Package gossip runs the membership protocol of one instance. It owns the membership state, carries out its actions
// over UDP and control calls, and publishes the directory of instances and endpoints.
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
	// syncTimeout limits one call of a synchronization.
	syncTimeout = 3 * time.Second
	// refusedLogInterval is the minimum time between two log lines about refused datagrams.
	refusedLogInterval = 10 * time.Second
	// maxDatagram is the size of the receive buffer in bytes; longer datagrams are cut off.
	maxDatagram = 2048
)

// MethodSync is the control call that carries one membership.SyncRequest and returns a membership.SyncResponse.
const MethodSync link.Method = "membership.sync"

// Members owns the membership state, carries out its actions and publishes the directory.
type Members struct {
	Owner         *owner.Owner
	state         *membership.State // accessed in the owner only
	leaving       bool              // accessed in the owner only
	directory     atomic.Pointer[membership.Directory]
	suspects      atomic.Int64 // number of instances
	conn          net.PacketConn
	Traffic       *link.Traffic
	Authenticator atomic.Pointer[membership.Authenticator]
	client        *link.ControlClient
	event         *event.Logger

	syncing         atomic.Bool
	Synced          chan struct{} // closed after the first complete synchronization
	syncOnce        sync.Once
	refusedLoggedAt time.Time // accessed by read only
	goroutines      sync.WaitGroup

	// OnNewerRevision, if set, is called when another instance has a later ticket revision. It runs in the owner and must not
	// block.
	OnNewerRevision func(membership.NewerRevision)
	// OnReading, if set, is called with each reading of the store that another instance made, and returns where it is
	// passed on to. It runs in the owner and must not block.
	OnReading func(r membership.ReadingReceived, suspected map[membership.ID]bool) []membership.ReadingTo
	// OnDirectoryChange, if set, is called after Directory has changed. It runs in the owner and must not block.
	OnDirectoryChange func()
}

// New returns the members as seen by an instance that knows no other one yet. Run drives them.
func New(
	actor *owner.Owner, self membership.Record, conn net.PacketConn, client *link.ControlClient, logger *event.Logger,
) *Members {
	m := &Members{
		Owner: actor, conn: conn, Traffic: &link.Traffic{}, Synced: make(chan struct{}), client: client, event: logger,
	}
	m.Authenticator.Store(membership.NewAuthenticator())
	m.state = membership.New(membership.Options{
		Self:   self,
		Config: membership.DefaultConfig(),
		Rand:   NewRand(),
		Now:    time.Now(),
	})
	m.directory.Store(m.state.Directory())
	return m
}

// NewRand returns a generator with a random seed.
func NewRand() *mathrand.Rand {
	var seed [16]byte
	_, _ = rand.Read(seed[:])
	return mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}

// Directory returns the current view of the instances and endpoints.
func (m *Members) Directory() *membership.Directory { return m.directory.Load() }

// All returns the records in the current view.
func (m *Members) All() []*membership.Record {
	d := m.Directory()
	out := make([]*membership.Record, 0, len(d.Records()))
	for _, r := range d.Records() {
		out = append(out, r)
	}
	return out
}

// Stats returns the counters of the membership state.
func (m *Members) Stats() (s membership.Stats) {
	m.Owner.Do(func() { s = m.state.Stats() })
	return s
}

// Suspected returns the instances that are suspected to have failed.
func (m *Members) Suspected() (out map[membership.ID]bool) {
	m.Owner.Do(func() { out = m.state.Suspected() })
	return out
}

// SuspectCount returns how many instances are suspected to have failed. It does not wait for the owner.
func (m *Members) SuspectCount() int { return int(m.suspects.Load()) }

// step calls one method of the state in the owner and carries out the actions that it returns.
func (m *Members) step(f func(now time.Time) []membership.Action) {
	m.Owner.Do(func() { m.execute(f(time.Now())) })
}

// SetEndpoints publishes the endpoints in this instance's slots.
func (m *Members) SetEndpoints(endpoints []membership.Endpoint) {
	m.step(func(now time.Time) []membership.Action { return m.state.SetSelf(now, endpoints, m.leaving) })
}

// Drain publishes that this instance accepts no new work.
func (m *Members) Drain() {
	m.step(func(now time.Time) []membership.Action {
		m.leaving = true
		return m.state.SetSelf(now, m.state.Self().Endpoints, true)
	})
}

// Leave announces that this process is about to end.
func (m *Members) Leave() { m.step(m.state.Leave) }

// SetRevision sets the ticket revision in force at this instance. It does not wait for the owner.
func (m *Members) SetRevision(revision uint64) {
	m.Owner.DoAsync(func() { m.execute(m.state.SetRevision(time.Now(), revision)) })
}

// SendReadings sends the readings that plan returns for the suspected instances. It does not wait for the owner.
func (m *Members) SendReadings(plan func(suspected map[membership.ID]bool) []membership.ReadingTo) {
	m.Owner.DoAsync(func() { m.execute(m.state.SendReadings(time.Now(), plan(m.state.Suspected()))) })
}

// Join sets the addresses that are contacted while no other instance is known.
func (m *Members) Join(contacts []netip.AddrPort) { m.Owner.Do(func() { m.state.Join(contacts) }) }

// Run drives the state until ctx ends, and then closes the socket and waits for all goroutines.
func (m *Members) Run(ctx context.Context) {
	m.goroutines.Go(m.read)
	ticker := time.NewTicker(membership.DefaultConfig().TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = m.conn.Close()
			m.goroutines.Wait()
			return
		case <-ticker.C:
			m.step(m.state.Tick)
		}
	}
}

// read receives datagrams until the socket is closed.
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
		msg, err := m.decode(buffer[:n])
		if err != nil {
			m.logRefused(from, err)
			continue
		}
		m.step(func(now time.Time) []membership.Action { return m.state.Receive(now, from, msg) })
	}
}

// decode verifies the authentication code of a datagram and decodes the message.
func (m *Members) decode(data []byte) (*membership.Message, error) {
	body, err := m.Authenticator.Load().Verify(data)
	if err != nil {
		return nil, err
	}
	return membership.DecodeMessage(body)
}

// logRefused logs a refused datagram, at most once per refusedLogInterval.
func (m *Members) logRefused(from netip.AddrPort, err error) {
	if time.Since(m.refusedLoggedAt) < refusedLogInterval {
		return
	}
	m.refusedLoggedAt = time.Now()
	m.event.Log(event.MessageRefused, event.F("from", from.String()), event.F("code", int(result.CodeOf(err))))
}

// execute carries out actions. It runs in the owner.
func (m *Members) execute(actions []membership.Action) {
	changed := false
	m.suspects.Store(int64(m.state.SuspectCount()))
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
		case membership.ReadingReceived:
			if m.OnReading != nil {
				m.execute(m.state.SendReadings(time.Now(), m.OnReading(a, m.state.Suspected())))
			}
		default:
			m.logAction(a)
		}
	}
	if changed {
		m.directory.Store(m.state.Directory())
		if m.OnDirectoryChange != nil {
			m.OnDirectoryChange()
		}
	}
}

// send signs a message and sends it. Errors are ignored, since the protocol tolerates lost datagrams.
func (m *Members) send(a membership.Send) {
	data, err := a.Message.Encode()
	if err != nil {
		return
	}
	data = m.Authenticator.Load().Sign(data)
	_, _ = m.conn.WriteTo(data, net.UDPAddrFromAddrPort(a.To))
	m.Traffic.AddMessage(len(data))
}

// logAction logs the membership changes that matter to operators.
func (m *Members) logAction(a membership.Action) {
	switch a := a.(type) {
	case membership.Joined:
		m.event.Log(event.MemberJoined, event.F("id", string(a.Record.ID)), event.F("domain", a.Record.Domain),
			event.F("control", a.Record.Control.String()))
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

// SyncWith synchronizes with the instance at an address, which need not be a member yet, and waits until that ends.
func (m *Members) SyncWith(addr netip.AddrPort) {
	var request *membership.SyncRequest
	m.Owner.Do(func() { request = m.state.StartSync() })
	if request != nil {
		m.synchronize(addr.String(), request)
	}
}

// startSync synchronizes with one instance in a goroutine, unless a synchronization started by an action is in
// progress.
func (m *Members) startSync(a membership.SyncWith) {
	if m.syncing.Swap(true) {
		return
	}
	request := m.state.StartSync()
	m.goroutines.Go(func() {
		defer m.syncing.Store(false)
		m.synchronize(a.Address.String(), request)
	})
}

// synchronize runs both phases of a synchronization as the initiator.
func (m *Members) synchronize(addr string, first *membership.SyncRequest) {
	response, err := m.exchange(addr, first)
	if err != nil {
		return // the next synchronization chooses a random member again
	}
	var requests []*membership.SyncRequest
	m.step(func(now time.Time) (out []membership.Action) {
		requests, out = m.state.ContinueSync(now, response)
		return out
	})
	for _, r := range requests {
		response, err := m.exchange(addr, r)
		if err != nil {
			return
		}
		m.step(func(now time.Time) []membership.Action { return m.state.FinishSync(now, response) })
	}
	m.syncOnce.Do(func() { close(m.Synced) })
}

// exchange sends one synchronization request and returns the response.
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
	response := &membership.SyncResponse{}
	return response, membership.DecodeSync(reply, response)
}

// HandleSync answers a synchronization request of another instance.
func (m *Members) HandleSync(_ context.Context, data []byte) (any, error) {
	request := &membership.SyncRequest{}
	if err := membership.DecodeSync(data, request); err != nil {
		return nil, err
	}
	var response *membership.SyncResponse
	m.step(func(now time.Time) (out []membership.Action) {
		response, out = m.state.HandleSync(now, request)
		return out
	})
	if response == nil {
		return nil, result.New(result.ShuttingDown, "the instance is shutting down")
	}
	return membership.EncodeSync(response)
}

// Listen opens TCP and UDP on the same address and port. For port 0, it tries up to 16 times to find a port that is
// free in both.
func Listen(network link.Network, addr netip.AddrPort) (net.Listener, net.PacketConn, error) {
	const maxAttempts = 16
	for range maxAttempts {
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
	return nil, nil, result.New(result.SettingsBadAddress,
		"listen.control: found no port of %s that is free for both TCP and UDP", addr.Addr())
}
