package instance

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"amaranthstile/gossip"

	"amaranthstile/event"
	"amaranthstile/link"
	"amaranthstile/settings"
)

const (
	readHeaderTimeout = 10 * time.Second
	serverHeaderBytes = 64 << 10
)

// listeners are the open sockets of an instance.
type listeners struct {
	callers, admin, slot, link, control net.Listener
	membership                          net.PacketConn
}

func (i *Instance) listen() error {
	l := i.options.Settings.Listen
	for _, x := range []struct {
		to   *net.Listener
		addr netip.AddrPort
	}{
		{&i.listeners.callers, l.Callers.AddrPort},
		{&i.listeners.admin, l.Admin.AddrPort},
		{&i.listeners.slot, l.Slot.AddrPort},
		{&i.listeners.link, l.Link.AddrPort},
	} {
		opened, err := net.Listen("tcp", x.addr.String())
		if err != nil {
			i.listeners.close()
			return err
		}
		*x.to = opened
	}
	control, datagrams, err := gossip.Listen(i.options.Network, l.Control.AddrPort)
	if err != nil {
		i.listeners.close()
		return err
	}
	i.listeners.control, i.listeners.membership = control, datagrams
	return nil
}

func (l listeners) close() {
	for _, x := range []net.Listener{l.callers, l.admin, l.slot, l.link, l.control} {
		if x != nil {
			_ = x.Close()
		}
	}
}

func (i *Instance) serve(l net.Listener, h http.Handler) {
	i.serveOn(&http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       link.IdleTimeout,
		MaxHeaderBytes:    serverHeaderBytes,
	}, l)
}

func (i *Instance) serveOn(s *http.Server, l net.Listener) {
	s.ErrorLog = event.ServerLog(i.options.Events).Std("", 0)
	i.servers = append(i.servers, s)
	i.running.Go(func() {
		err := s.Serve(l)
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			i.options.Events.Log(event.ServerFailed, event.F("error", err.Error()))
		}
	})
}

// Addresses returns the addresses that the instance listens on.
func (i *Instance) Addresses() settings.Listen {
	l := i.listeners
	return settings.Listen{
		Callers: settings.Address{AddrPort: addrPort(l.callers)},
		Admin:   settings.Address{AddrPort: addrPort(l.admin)},
		Slot:    settings.Address{AddrPort: addrPort(l.slot)},
		Link:    settings.Address{AddrPort: addrPort(l.link)},
		Control: settings.Address{AddrPort: addrPort(l.control)},
	}
}

func addrPort(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}
