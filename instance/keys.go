package instance

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"amaranthstile/event"
	"amaranthstile/internal/wait"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
	"amaranthstile/settings"
)

// keysReloadInterval is how often the key files are checked for changes.
const keysReloadInterval = 5 * time.Second

// readKeys reads the keys of the links if the settings name key files.
func (i *Instance) readKeys() (err error) {
	t := i.options.Settings.TLS
	if t == nil {
		return nil
	}
	i.keys, err = link.LoadKeys(link.KeyFiles{Certificate: t.Certificate, Key: t.Key, Authorities: t.Authorities, Secrets: t.Secrets})
	return err
}

func (i *Instance) clientTLS() *tls.Config {
	if i.keys == nil {
		return nil
	}
	return i.keys.ClientConfig()
}

// withTLS wraps l in mutual TLS if the instance has keys.
func (i *Instance) withTLS(l net.Listener) net.Listener {
	if i.keys == nil {
		return l
	}
	return tls.NewListener(l, i.keys.ServerConfig())
}

// applySecrets makes the membership use the secrets of the current keys.
func (i *Instance) applySecrets() {
	if i.keys != nil {
		i.members.Authenticator.Store(membership.NewAuthenticator(i.keys.Secrets()...))
	}
}

// watchKeys loads new keys when their files change, until ctx ends. Established connections stay open.
func (i *Instance) watchKeys(ctx context.Context) {
	refused := ""
	for i.keys != nil && ctx.Err() == nil {
		wait.Sleep(ctx, keysReloadInterval)
		refused = i.reloadKeys(refused)
	}
}

// reloadKeys checks the key files once. It returns the text of an error, and logs the error unless it equals refused,
// the text that the previous call returned.
func (i *Instance) reloadKeys(refused string) string {
	changed, err := i.keys.Reload()
	if err != nil {
		if err.Error() != refused {
			i.options.Events.Log(event.KeysRefused, event.F("code", int(result.CodeOf(err))), event.F("error", err.Error()))
		}
		return err.Error()
	}
	if changed {
		i.applySecrets()
		i.options.Events.Log(event.KeysReloaded)
	}
	return ""
}

func peersOf(s *settings.Settings) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(s.Peers))
	for _, p := range s.Peers {
		out = append(out, p.AddrPort)
	}
	return out
}
