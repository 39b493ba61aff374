package instance

import (
	"net"
	"net/http"
	"net/netip"

	"amaranthstile/gossip"
	"amaranthstile/internal/httpserver"
	"amaranthstile/settings"
)

// listeners are the open sockets of an instance.
type listeners struct {
	clients, admin, slot, link, control net.Listener
	membership                          net.PacketConn
}

func (i *Instance) listen() error {
	l := i.options.Settings.Listen
	err := httpserver.OpenListeners(
		httpserver.ListenerSpec{Listener: &i.listeners.clients, Address: l.Clients.AddrPort},
		httpserver.ListenerSpec{Listener: &i.listeners.admin, Address: l.Admin.AddrPort},
		httpserver.ListenerSpec{Listener: &i.listeners.slot, Address: l.Backends.AddrPort},
		httpserver.ListenerSpec{Listener: &i.listeners.link, Address: l.Link.AddrPort},
	)
	if err != nil {
		return err
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
	for _, x := range []net.Listener{l.clients, l.admin, l.slot, l.link, l.control} {
		if x != nil {
			_ = x.Close()
		}
	}
}

// serveLocal serves a listener for backend servers or operators.
func (i *Instance) serveLocal(l net.Listener, h http.Handler) {
	i.serveOn(httpserver.NewLocalServer(h), httpserver.LimitLocalConns(l))
}

func (i *Instance) serveOn(s *http.Server, l net.Listener) {
	i.requests.Attach(s)
	i.servers = append(i.servers, s)
	httpserver.Serve(&i.running, s, l, i.options.Events)
}

// Addresses returns the addresses that the instance listens on.
func (i *Instance) Addresses() settings.ListenAddresses {
	l := i.listeners
	return settings.ListenAddresses{
		Clients:  settings.Address{AddrPort: addrPort(l.clients)},
		Admin:    settings.Address{AddrPort: addrPort(l.admin)},
		Backends: settings.Address{AddrPort: addrPort(l.slot)},
		Link:     settings.Address{AddrPort: addrPort(l.link)},
		Control:  settings.Address{AddrPort: addrPort(l.control)},
	}
}

func addrPort(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}
