package instance_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	backendstandin "amaranthstile/backend/standin"
	"amaranthstile/fleet"
	"amaranthstile/internal/testcerts"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
)

// TestFleetWithKeysRefusesUnknownProcesses checks that a fleet with keys serves requests over its links, and refuses
// connections and datagrams from a process without a valid certificate or secret.
func TestFleetWithKeysRefusesUnknownProcesses(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	authority, err := testcerts.New()
	is.NoErr(err)
	is.NoErr(authority.Write(testcerts.FilesIn(dir), time.Hour))
	f, ctx := startFleetOf(t, fleet.Options{Instances: 2, KeyDir: dir})
	_, err = f.AddBackend(1, backendstandin.Options{ID: "b1", Service: "roster", Slots: 3})
	is.NoErr(err)
	is.NoErr(f.WaitReady(ctx, 1))
	record, err := f.SubmitTicket(ctx, 0, openRoute())
	is.NoErr(err)
	is.NoErr(f.WaitRevision(ctx, record.Revision))
	resp, err := http.Get("http://" + f.Instances[0].Addresses().Clients.String() + "/roster/turn")
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK) // forwarded over a link with mutual TLS

	stranger, err := testcerts.New()
	is.NoErr(err)
	strangerDir := t.TempDir()
	is.NoErr(stranger.Write(testcerts.FilesIn(strangerDir), time.Hour))
	keys, err := link.LoadKeys(link.KeyFiles(testcerts.FilesIn(strangerDir)))
	is.NoErr(err)
	addresses := f.Instances[0].Addresses()
	calls := link.NewControlClient(link.SystemNetwork{}, keys.ClientConfig())
	defer calls.Close()
	is.Equal(result.CodeOf(calls.Call(ctx, addresses.Control.String(), "membership.sync", nil, nil)), result.LinkRefused)
	plain := link.NewControlClient(link.SystemNetwork{}, nil)
	defer plain.Close()
	is.True(plain.Call(ctx, addresses.Control.String(), "membership.sync", nil, nil) != nil)
	resp, err = http.Get("http://" + addresses.Link.String() + "/roster/turn")
	if err == nil {
		_ = resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusBadRequest)
	}

	// Datagrams without a signature by the fleet's secret are dropped. Only the last one, which has it, gets a reply.
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = socket.Close() }()
	data, err := (&membership.Message{Protocol: 1, Kind: 1, From: "stranger", Seq: 1}).Encode()
	is.NoErr(err)
	to := net.UDPAddrFromAddrPort(addresses.Control.AddrPort)
	for _, secret := range []string{"", "another-secret", testcerts.Secret} {
		authenticator := membership.NewAuthenticator()
		if secret != "" {
			authenticator = membership.NewAuthenticator(secret)
		}
		_, err = socket.WriteTo(authenticator.Sign(data), to)
		is.NoErr(err)
	}
	is.NoErr(socket.SetReadDeadline(time.Now().Add(10 * time.Second)))
	buffer := make([]byte, 2048)
	n, _, err := socket.ReadFrom(buffer)
	is.NoErr(err)
	_, err = membership.NewAuthenticator(testcerts.Secret).Verify(buffer[:n])
	is.NoErr(err)
}
