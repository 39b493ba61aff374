package entry_test

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// listenSilently returns a listener whose connections accept all data and never respond, like connections over a broken
// network path.
func listenSilently(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		var open []net.Conn
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			open = append(open, c)
		}
		for _, c := range open {
			_ = c.Close()
		}
	}()
	return l
}

// TestNoRequestIsLostOnABrokenPath breaks the network paths to some instances: requests that are not repeatable are
// sent to other instances and run once.
func TestNoRequestIsLostOnABrokenPath(t *testing.T) {
	is := is.New(t)
	p := newPipeline(t, nil, ok, ok, ok)
	p.options.ProbeIdleLinks = true
	p.listen(t)
	for _, id := range []string{"0", "1"} {
		l := listenSilently(t).Addr().(*net.TCPAddr).AddrPort()
		for _, r := range p.records {
			if string(r.ID) == id {
				r.Link = l
			}
		}
	}
	for range 6 {
		is.Equal(p.do("POST", "/open", "", "Amaranth-Timeout-Ms", "2000").status, 200)
	}
	is.Equal(p.runs.Load(), int32(6))
}
