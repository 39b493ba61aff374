package link_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/internal/testcerts"
	"amaranthstile/link"
	"amaranthstile/result"
)

func newAuthority(t *testing.T) *testcerts.Authority {
	t.Helper()
	a, err := testcerts.New()
	is.New(t).NoErr(err)
	return a
}

// writeKeyFiles writes the key files of an instance, with a certificate signed by the authority.
func writeKeyFiles(t *testing.T, a *testcerts.Authority, lifetime time.Duration, uses ...x509.ExtKeyUsage) link.KeyFiles {
	t.Helper()
	f := testcerts.FilesIn(t.TempDir())
	is.New(t).NoErr(a.Write(f, lifetime, uses...))
	return link.KeyFiles(f)
}

const echo link.Method = "echo"

// serve starts a control server that handles the method echo, and returns its address.
func serve(t *testing.T, keys *link.Keys) (string, *link.ControlServer) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	address := l.Addr().String()
	s := link.NewControlServer()
	link.Register(s, echo, func(ctx context.Context, text string) (any, error) {
		if text == "wait" {
			<-ctx.Done()
		}
		if text == "panic" {
			panic("planted")
		}
		if text == "large" {
			return strings.Repeat("x", link.MaxControlBytes), nil
		}
		return text, nil
	})
	if keys != nil {
		l = tls.NewListener(l, keys.ServerConfig())
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
		<-done
	})
	return address, s
}

func call(t *testing.T, config *tls.Config, address, text string) error {
	t.Helper()
	c := link.NewControlClient(link.SystemNetwork{}, config)
	defer c.Close()
	return callOn(t, c, address, text)
}

func callOn(t *testing.T, c *link.ControlClient, address, text string) error {
	t.Helper()
	var got string
	err := c.Call(t.Context(), address, echo, text, &got)
	if err == nil && got != text {
		t.Errorf("got %q, not %q", got, text)
	}
	return err
}

func TestOnlyFleetCertificatesAreAccepted(t *testing.T) {
	is := is.New(t)
	fleet, otherAuthority := newAuthority(t), newAuthority(t)
	keys, err := link.LoadKeys(writeKeyFiles(t, fleet, time.Hour))
	is.NoErr(err)
	address, server := serve(t, keys)
	foreign, err := link.LoadKeys(writeKeyFiles(t, otherAuthority, time.Hour))
	is.NoErr(err)
	valid, err := link.LoadKeys(writeKeyFiles(t, fleet, time.Hour))
	is.NoErr(err)
	noCertificate := valid.ClientConfig()
	noCertificate.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &tls.Certificate{}, nil }
	wrongCertificate := valid.ClientConfig() // trusts the server, but presents a certificate of another authority
	wrongCertificate.GetClientCertificate = foreign.ClientConfig().GetClientCertificate
	for _, c := range []struct {
		name   string
		config *tls.Config
		want   result.Code
	}{
		{"valid", valid.ClientConfig(), result.OK},
		{"trusts another authority only", foreign.ClientConfig(), result.LinkRefused},
		{"certificate of another authority", wrongCertificate, result.LinkRefused},
		{"no certificate", noCertificate, result.LinkRefused},
	} {
		if got := result.CodeOf(call(t, c.config, address, "x")); got != c.want {
			t.Errorf("%s: %v, not %v", c.name, got, c.want)
		}
	}
	is.True(call(t, nil, address, "x") != nil) // plain TCP
	for end := time.Now().Add(5 * time.Second); server.Stats().Refused < 4 && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // the server counts a rejection after it has closed the connection
	}
	is.Equal(server.Stats().Refused, uint64(4))
	is.Equal(server.Stats().Calls, uint64(2)) // the hello and the one valid call
}

func TestLoadKeysRejectsInvalidKeys(t *testing.T) {
	fleet, otherAuthority := newAuthority(t), newAuthority(t)
	short := writeKeyFiles(t, fleet, time.Hour)
	is := is.New(t)
	is.NoErr(os.WriteFile(short.Secrets, []byte("short"), 0o600))
	other := writeKeyFiles(t, fleet, time.Hour)
	is.NoErr(os.WriteFile(other.Authorities, otherAuthority.PEM(), 0o600))
	for name, f := range map[string]link.KeyFiles{
		"no files":                         {},
		"certificate of another authority": other,
		"expired certificate":              writeKeyFiles(t, fleet, -time.Hour),
		"certificate for servers only":     writeKeyFiles(t, fleet, time.Hour, x509.ExtKeyUsageServerAuth),
		"short secret":                     short,
		"key of another certificate":       {Certificate: writeKeyFiles(t, fleet, time.Hour).Certificate, Key: short.Key, Authorities: short.Authorities, Secrets: short.Authorities},
		"authorities that are not PEM":     {Certificate: short.Certificate, Key: short.Key, Authorities: short.Secrets, Secrets: short.Secrets},
	} {
		if _, err := link.LoadKeys(f); !result.Is(err, result.KeysInvalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestReloadKeepsOpenConnections(t *testing.T) {
	is := is.New(t)
	before, after := newAuthority(t), newAuthority(t)
	serverFiles, clientFiles := writeKeyFiles(t, before, time.Hour), writeKeyFiles(t, before, time.Hour)
	serverKeys, err := link.LoadKeys(serverFiles)
	is.NoErr(err)
	clientKeys, err := link.LoadKeys(clientFiles)
	is.NoErr(err)
	address, server := serve(t, serverKeys)
	c := link.NewControlClient(link.SystemNetwork{}, clientKeys.ClientConfig())
	defer c.Close()
	is.NoErr(callOn(t, c, address, "first"))

	is.NoErr(after.Write(testcerts.Files(serverFiles), time.Hour))
	changed, err := serverKeys.Reload()
	is.NoErr(err)
	is.True(changed)
	is.NoErr(callOn(t, c, address, "second"))
	is.Equal(server.Stats().Connections, 1) // the same connection
	// A new connection needs the new keys.
	is.Equal(result.CodeOf(call(t, clientKeys.ClientConfig(), address, "third")), result.LinkRefused)

	is.NoErr(os.WriteFile(clientFiles.Key, []byte("broken"), 0o600))
	_, err = clientKeys.Reload()
	is.Equal(result.CodeOf(err), result.KeysInvalid)
	is.NoErr(after.Write(testcerts.Files(clientFiles), time.Hour))
	changed, err = clientKeys.Reload()
	is.NoErr(err)
	is.True(changed)
	is.NoErr(call(t, clientKeys.ClientConfig(), address, "fourth"))
}

// TestInvalidMessagesCloseTheConnection sends messages that break the protocol: each one must end its connection,
// and the server must go on serving others.
func TestInvalidMessagesCloseTheConnection(t *testing.T) {
	is := is.New(t)
	address, server := serve(t, nil)
	for name, bytes := range map[string]string{
		"length above the limit":  "\xff\xff\xff\xff\x0f{",
		"length without an end":   strings.Repeat("\xff", 12),
		"not JSON":                "\x03abc",
		"a call before the hello": frame(`{"jsonrpc":"2.0","id":1,"method":"echo","params":"x"}`),
		"no common version":       frame(`{"jsonrpc":"2.0","id":1,"method":"link.hello","params":{"oldest":99,"newest":99}}`) + frame("broken"),
		"neither call nor result": frame(`{}`),
		"unexpected result":       frame(`{"jsonrpc":"2.0","id":7,"result":1}`) + frame("broken"),
	} {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		_, err = c.Write([]byte(bytes))
		is.NoErr(err)
		is.NoErr(c.SetReadDeadline(time.Now().Add(5 * time.Second)))
		buffer := make([]byte, 4096)
		for err == nil {
			_, err = c.Read(buffer)
		}
		var e net.Error
		if errors.As(err, &e) && e.Timeout() {
			t.Errorf("%s: the connection stays open", name)
		}
		_ = c.Close()
	}
	is.NoErr(call(t, nil, address, "still served"))
	for server.Stats().Connections > 1 { // the server removes a closed connection asynchronously
		time.Sleep(time.Millisecond)
	}
}

func frame(text string) string {
	return string([]byte{byte(len(text))}) + text
}

func TestCallSizeAndConcurrencyAreBounded(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, nil)
	c := link.NewControlClient(link.SystemNetwork{}, nil)
	defer c.Close()
	is.Equal(result.CodeOf(callOn(t, c, address, "large")), result.LinkTooLarge)
	is.Equal(result.CodeOf(callOn(t, c, address, strings.Repeat("x", link.MaxControlBytes))), result.LinkTooLarge)
	is.Equal(result.CodeOf(c.Call(t.Context(), address, "unknown", nil, nil)), result.LinkVersion)
	is.NoErr(callOn(t, c, address, "still served"))

	ctx, cancel := context.WithCancel(t.Context())
	codes := make(chan result.Code)
	const calls = 80
	for range calls {
		go func() { codes <- result.CodeOf(c.Call(ctx, address, echo, "wait", nil)) }()
	}
	is.Equal(<-codes, result.LinkBusy) // more than 64 calls in flight
	cancel()
	for range calls - 1 {
		<-codes
	}
}

// TestSilentServerFailsTheCallAtItsDeadline checks a server that accepts connections and sends nothing: a call
// fails at its deadline.
func TestSilentServerFailsTheCallAtItsDeadline(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	c := link.NewControlClient(link.SystemNetwork{}, nil)
	defer c.Close()
	is.Equal(result.CodeOf(c.Call(ctx, l.Addr().String(), echo, "x", nil)), result.LinkUnreachable)
}

// TestHalfOpenConnectionIsReplaced checks a server that stops responding on an open connection: calls fail at their
// deadlines, and the client opens a new connection.
func TestHalfOpenConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			// The server replies to the hello only, once that arrives: a client drops replies to calls that it has not made.
			if _, err := c.Read(make([]byte, 1)); err != nil {
				continue
			}
			_, _ = c.Write([]byte(frame(`{"jsonrpc":"2.0","id":0,"result":{"oldest":1,"newest":1}}`)))
			accepted <- c
		}
	}()
	c := link.NewControlClient(link.SystemNetwork{}, nil)
	defer c.Close()
	for len(accepted) < 2 {
		// 500 ms is long enough to connect on a busy machine.
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		code := result.CodeOf(c.Call(ctx, l.Addr().String(), echo, "x", nil))
		// The code is LinkBroken if the connection is closed in the meantime.
		is.True(code == result.LinkTimeout || code == result.LinkBroken)
		cancel()
	}
}

// TestPanicInAHandlerEndsOnlyItsCall lets a handler panic: the call fails with a code, the panic is counted, and the same
// connection serves the next call.
func TestPanicInAHandlerEndsOnlyItsCall(t *testing.T) {
	is := is.New(t)
	address, server := serve(t, nil)
	client := link.NewControlClient(link.SystemNetwork{}, nil)
	defer client.Close()
	var out string
	err := client.Call(t.Context(), address, echo, "panic", &out)
	is.Equal(result.CodeOf(err), result.Internal)
	is.NoErr(client.Call(t.Context(), address, echo, "text", &out))
	is.Equal(out, "text")
	is.Equal(server.Stats().Panics, uint64(1))
}
