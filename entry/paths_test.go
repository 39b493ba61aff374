package entry_test

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// silent is the address of a listener whose connections hear everything and say nothing, as those across a cut do.
func silent(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		var held []net.Conn
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			held = append(held, c)
		}
		for _, c := range held {
			_ = c.Close()
		}
	}()
	return l
}

// TestNothingIsLostOnACutWay cuts the ways to some instances: requests that may not be repeated go elsewhere and run once.
func TestNothingIsLostOnACutWay(t *testing.T) {
	is := is.New(t)
	p := newPath(t, nil, ok, ok, ok)
	p.options.ProbeIdleLinks = true
	p.listen(t)
	for _, id := range []string{"0", "1"} {
		l := silent(t).Addr().(*net.TCPAddr).AddrPort()
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
