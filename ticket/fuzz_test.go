package ticket_test

import (
	"bytes"
	"crypto/sha256"
	"net/netip"
	"strings"
	"testing"

	"github.com/klauspost/compress/zstd"
	"github.com/matryer/is"

	"amaranthstile/result"
	"amaranthstile/ticket"
)

const wholeTicket = `{"number":3,"services":{"roster":{"floor":0.5},"old":null},
"routes":{"turns":{"host":"norte.example","prefix":"/turns","service":"roster","repeatable":[],"timeLimitMillis":50,"maxBodyBytes":9}},
"accounts":{"norte":{"rate":20,"burst":5,"weight":2,"keys":["` + "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff" + `"]},"sur":null}}`

func FuzzTicket(f *testing.F) {
	for _, s := range []string{
		wholeTicket, `{}`, `null`, `[]`, `{"number":1}`, `{"number":1,"number":2}`, `{"Number":1}`, `{"number":18446744073709551616}`, `{"number":-1}`,
		`{"number":1,"accounts":{"a":{"rate":1e999,"burst":1}}}`, `{"number":1,"accounts":{"a":{"rate":1,"burst":1},"a":null}}`, `{"number":1,"accounts":{"a":{"rate":null,"burst":1}}}`,
		`{"number":1,"services":null}`, `{"number":1,"routes":{"r":{"prefix":"/\ud800","service":"s"}}}`, `{"number":1} 2`, `{"number":1`, "\xef\xbb\xbf{}",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		x, err := ticket.Decode(data)
		if err == nil {
			err = x.Validate()
		}
		if err != nil {
			if c := result.CodeOf(err); c < 2000 || c >= 3000 {
				t.Fatalf("error %d: %v", c, err)
			}
			return
		}
		again, err := ticket.Decode(x.Encode())
		if err != nil || again.Digest() != x.Digest() {
			t.Fatalf("encoded and read again: %v", err)
		}
	})
}

func FuzzKeyHash(f *testing.F) {
	for _, s := range []string{"", "00", strings.Repeat("0", 64), strings.Repeat("F", 64), strings.Repeat("g", 64), strings.Repeat("é", 32)} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var h ticket.Hash
		if err := h.UnmarshalText(data); err != nil {
			if !result.Is(err, result.TicketInvalid) {
				t.Fatal(err)
			}
			return
		}
		text, _ := h.MarshalText()
		if !bytes.EqualFold(text, data) {
			t.Fatalf("%s became %s", data, text)
		}
	})
}

func compress(raw []byte) []byte {
	z, _ := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	defer func() { _ = z.Close() }()
	return z.EncodeAll(raw, nil)
}

// sampleBook holds one of everything that a snapshot can hold.
func sampleBook(t testing.TB) *ticket.ConfigState {
	b := ticket.NewConfigState()
	x, err := ticket.Decode([]byte(wholeTicket))
	if err != nil {
		t.Fatal(err)
	}
	member := ticket.RosterMember{ID: "i1", Domain: "norte", Control: netip.MustParseAddrPort("127.0.0.1:7005")}
	b.Apply(ticket.Entry{Revision: 1, Roster: &ticket.Roster{Epoch: 4, Coordinators: []ticket.RosterMember{member}}})
	b.Apply(ticket.Entry{Revision: 2, Ticket: x})
	return b
}

func TestSnapshotKeepsEverything(t *testing.T) {
	is := is.New(t)
	b := sampleBook(t)
	s, err := b.Encode()
	is.NoErr(err)
	again, err := ticket.DecodeConfigState(s.Manifest, s.Chunks)
	is.NoErr(err)
	is.Equal(inForce(again), inForce(b))
	is.Equal(again.Roster(), b.Roster())
	r, _ := again.Route("turns")
	is.True(r.Value.Repeatable != nil && len(r.Value.Repeatable) == 0) // none is not the default
	for name, damage := range map[string]func(m *ticket.Manifest, c [][]byte) [][]byte{
		"bit":      func(_ *ticket.Manifest, c [][]byte) [][]byte { c[0][len(c[0])/2] ^= 1; return c },
		"short":    func(_ *ticket.Manifest, c [][]byte) [][]byte { c[0] = c[0][:9]; return c },
		"none":     func(_ *ticket.Manifest, c [][]byte) [][]byte { return nil },
		"revision": func(m *ticket.Manifest, c [][]byte) [][]byte { m.Revision++; return c },
		"bomb":     func(_ *ticket.Manifest, c [][]byte) [][]byte { c[0] = compress(make([]byte, 64<<20)); return c },
		"large":    func(_ *ticket.Manifest, c [][]byte) [][]byte { c[0] = make([]byte, ticket.MaxChunkBytes+1); return c },
	} {
		s, err := b.Encode()
		is.NoErr(err)
		_, err = ticket.DecodeConfigState(s.Manifest, damage(&s.Manifest, s.Chunks))
		if !result.Is(err, result.SnapshotDamaged) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// FuzzSnapshot reads arbitrary items under a right digest: what is accepted is canonical.
func FuzzSnapshot(f *testing.F) {
	s, err := sampleBook(f).Encode()
	if err != nil {
		f.Fatal(err)
	}
	z, _ := zstd.NewReader(nil)
	raw, err := z.DecodeAll(s.Chunks[0], nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add(append(raw, raw...))
	f.Add([]byte{})
	for i := 0; i < len(raw); i += 5 {
		f.Add(append(append([]byte{}, raw[:i]...), raw[min(i+1, len(raw)):]...))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m := ticket.Manifest{Revision: 2, Chunks: []ticket.Hash{sha256.Sum256(raw)}}
		b, err := ticket.DecodeConfigState(m, [][]byte{compress(raw)})
		if err != nil {
			if !result.Is(err, result.SnapshotDamaged) {
				t.Fatal(err)
			}
			return
		}
		if again, err := b.Encode(); err != nil || !again.Manifest.Equal(m) {
			t.Fatalf("accepted, but encoded otherwise: %v", err)
		}
	})
}
