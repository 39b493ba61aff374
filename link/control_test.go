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

	"amaranthstile/internal/trialkeys"
	"amaranthstile/link"
	"amaranthstile/result"
)

func newAuthority(t *testing.T) *trialkeys.Authority {
	t.Helper()
	a, err := trialkeys.New()
	is.New(t).NoErr(err)
	return a
}

// files writes the files of an instance whose certificate the authority signed.
func files(t *testing.T, a *trialkeys.Authority, life time.Duration, uses ...x509.ExtKeyUsage) link.KeyFiles {
	t.Helper()
	f := trialkeys.FilesIn(t.TempDir())
	is.New(t).NoErr(a.Write(f, life, uses...))
	return link.KeyFiles(f)
}

const echo link.Method = "echo"

// serve starts a control server that answers echo, and returns its address.
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

func TestOnlyCertificatesOfTheFleetGetThrough(t *testing.T) {
	is := is.New(t)
	fleet, stranger := newAuthority(t), newAuthority(t)
	keys, err := link.LoadKeys(files(t, fleet, time.Hour))
	is.NoErr(err)
	address, server := serve(t, keys)
	foreign, err := link.LoadKeys(files(t, stranger, time.Hour))
	is.NoErr(err)
	right, err := link.LoadKeys(files(t, fleet, time.Hour))
	is.NoErr(err)
	noCertificate := right.ClientConfig()
	noCertificate.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &tls.Certificate{}, nil }
	wrongCertificate := right.ClientConfig() // it would take the server's, but shows a stranger's
	wrongCertificate.GetClientCertificate = foreign.ClientConfig().GetClientCertificate
	for _, c := range []struct {
		name   string
		config *tls.Config
		want   result.Code
	}{
		{"right", right.ClientConfig(), result.OK},
		{"another authority", foreign.ClientConfig(), result.LinkRefused},
		{"a stranger's certificate", wrongCertificate, result.LinkRefused},
		{"no certificate", noCertificate, result.LinkRefused},
	} {
		if got := result.CodeOf(call(t, c.config, address, "x")); got != c.want {
			t.Errorf("%s: %v, not %v", c.name, got, c.want)
		}
	}
	is.True(call(t, nil, address, "x") != nil) // plain TCP
	for end := time.Now().Add(5 * time.Second); server.Stats().Refused < 4 && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // the server counts after its side of the connection has ended
	}
	is.Equal(server.Stats().Refused, uint64(4))
	is.Equal(server.Stats().Calls, uint64(2)) // the hello and the one right call
}

func TestBadKeysAreRefusedAtTheStart(t *testing.T) {
	fleet, stranger := newAuthority(t), newAuthority(t)
	short := files(t, fleet, time.Hour)
	is := is.New(t)
	is.NoErr(os.WriteFile(short.Secrets, []byte("short"), 0o600))
	other := files(t, fleet, time.Hour)
	is.NoErr(os.WriteFile(other.Authorities, stranger.PEM(), 0o600))
	for name, f := range map[string]link.KeyFiles{
		"no files":              {},
		"of another authority":  other,
		"run out":               files(t, fleet, -time.Hour),
		"for servers only":      files(t, fleet, time.Hour, x509.ExtKeyUsageServerAuth),
		"with a short secret":   short,
		"key of another":        {Certificate: files(t, fleet, time.Hour).Certificate, Key: short.Key, Authorities: short.Authorities, Secrets: short.Authorities},
		"authorities not a PEM": {Certificate: short.Certificate, Key: short.Key, Authorities: short.Secrets, Secrets: short.Secrets},
	} {
		if _, err := link.LoadKeys(f); !result.Is(err, result.KeysInvalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestNewKeysLeaveConnectionsStanding(t *testing.T) {
	is := is.New(t)
	before, after := newAuthority(t), newAuthority(t)
	serverFiles, clientFiles := files(t, before, time.Hour), files(t, before, time.Hour)
	serverKeys, err := link.LoadKeys(serverFiles)
	is.NoErr(err)
	clientKeys, err := link.LoadKeys(clientFiles)
	is.NoErr(err)
	address, server := serve(t, serverKeys)
	c := link.NewControlClient(link.SystemNetwork{}, clientKeys.ClientConfig())
	defer c.Close()
	is.NoErr(callOn(t, c, address, "first"))

	is.NoErr(after.Write(trialkeys.Files(serverFiles), time.Hour))
	changed, err := serverKeys.Reload()
	is.NoErr(err)
	is.True(changed)
	is.NoErr(callOn(t, c, address, "second"))
	is.Equal(server.Stats().Connections, 1)                                                           // the same connection
	is.Equal(result.CodeOf(call(t, clientKeys.ClientConfig(), address, "third")), result.LinkRefused) // new ones need new keys

	is.NoErr(os.WriteFile(clientFiles.Key, []byte("broken"), 0o600))
	_, err = clientKeys.Reload()
	is.Equal(result.CodeOf(err), result.KeysInvalid)
	is.NoErr(after.Write(trialkeys.Files(clientFiles), time.Hour))
	changed, err = clientKeys.Reload()
	is.NoErr(err)
	is.True(changed)
	is.NoErr(call(t, clientKeys.ClientConfig(), address, "fourth"))
}

// What a peer may send wrongly on a connection, and what it gets.
func TestBrokenPeersAreBounded(t *testing.T) {
	is := is.New(t)
	address, server := serve(t, nil)
	for name, bytes := range map[string]string{
		"length above the bound":   "\xff\xff\xff\xff\x0f{",
		"length without an end":    strings.Repeat("\xff", 12),
		"no JSON":                  "\x03abc",
		"a call before the hello":  frame(`{"jsonrpc":"2.0","id":1,"method":"echo","params":"x"}`),
		"no common version":        frame(`{"jsonrpc":"2.0","id":1,"method":"link.hello","params":{"oldest":99,"newest":99}}`) + frame("broken"),
		"neither call nor answer":  frame(`{}`),
		"an answer nobody awaited": frame(`{"jsonrpc":"2.0","id":7,"result":1}`) + frame("broken"),
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
	for server.Stats().Connections > 1 { // the server forgets a closed connection in its own time
		time.Sleep(time.Millisecond)
	}
}

func frame(text string) string {
	return string([]byte{byte(len(text))}) + text
}

func TestCallsAreBounded(t *testing.T) {
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
	is.Equal(<-codes, result.LinkBusy) // beyond 64 at once
	cancel()
	for range calls - 1 {
		<-codes
	}
}

// A server that takes connections and says nothing holds no call beyond its deadline.
func TestSilentPeerIsNoticed(t *testing.T) {
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

// A peer that goes silent on a standing connection: calls end by their deadlines, and a new connection is tried.
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
			_, _ = c.Write([]byte(frame(`{"jsonrpc":"2.0","id":0,"result":{"oldest":1,"newest":1}}`))) // the hello, then nothing
			accepted <- c
		}
	}()
	c := link.NewControlClient(link.SystemNetwork{}, nil)
	defer c.Close()
	for len(accepted) < 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond) // long enough for a connection on a busy machine
		code := result.CodeOf(c.Call(ctx, l.Addr().String(), echo, "x", nil))
		is.True(code == result.LinkTimeout || code == result.LinkBroken) // broken when it is closed meanwhile
		cancel()
	}
}
