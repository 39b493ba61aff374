package membership

import (
	"bytes"
	"math"
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"amaranthstile/result"
)

func testRecord(id ID, endpoints int) *Record {
	at := netip.MustParseAddrPort("10.0.0.7:7000")
	r := &Record{ID: id, Version: 3, Name: "n", Domain: "norte", Region: "litoral", Link: at, Control: at, Protocols: [2]uint8{1, 1}}
	for n := range endpoints {
		r.Endpoints = append(r.Endpoints, Endpoint{Backend: "b" + strings.Repeat("x", n%40), Service: "s", Slots: n % 9, State: endpointStates[n%4]})
	}
	return r
}

// fillFields sets every field of a struct to a non-zero value.
func fillFields(v reflect.Value) {
	for n := range v.NumField() {
		switch f := v.Field(n); f.Kind() {
		case reflect.String:
			f.SetString("text")
		case reflect.Int, reflect.Int64:
			f.SetInt(int64(n + 7))
		case reflect.Uint64:
			f.SetUint(uint64(n + 7))
		case reflect.Bool:
			f.SetBool(true)
		}
	}
}

func TestEveryFieldIsEncoded(t *testing.T) {
	is := is.New(t)
	r := testRecord("", 1)
	fillFields(reflect.ValueOf(r).Elem())
	fillFields(reflect.ValueOf(&r.Endpoints[0]).Elem())
	r.Endpoints[0].State = Ejected
	data, err := encodeRecord(r)
	is.NoErr(err)
	got, err := decodeRecord(data)
	is.NoErr(err)
	is.Equal(got, r)
}

func TestRecordsAreDecodedAsEncoded(t *testing.T) {
	is := is.New(t)
	r := testRecord("a", 14)
	data, err := encodeRecord(r)
	is.NoErr(err)
	is.True(len(data) < maxDatagramBytes)
	got, err := decodeRecord(data)
	is.NoErr(err)
	is.True(reflect.DeepEqual(got, r))
	_, err = encodeRecord(testRecord("a", 4000))
	is.Equal(result.CodeOf(err), result.MessageInvalid)
}

// badDatagrams returns datagrams that each violate a limit or the protocol. They are also seeds of the fuzz target.
func badDatagrams() map[string][]byte {
	encode := func(m Message) []byte {
		data, _ := m.Encode()
		return data
	}
	long := ID(strings.Repeat("x", maxIDBytes+1))
	nested := append(bytes.Repeat([]byte{0x81}, 200), 0x01)
	return map[string][]byte{
		"empty":                     nil,
		"not CBOR":                  []byte("hello"),
		"nested":                    nested,
		"a huge array":              {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"a huge string":             {0x8a, 1, 1, 0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"indefinite length":         {0x9f, 1, 1, 0xff},
		"too long":                  make([]byte, maxDatagramBytes+1),
		"no sender":                 encode(Message{Protocol: 1, Kind: kindPing}),
		"a long sender":             encode(Message{Protocol: 1, Kind: kindPing, From: long}),
		"no kind":                   encode(Message{Protocol: 1, From: "a"}),
		"an unknown kind":           encode(Message{Protocol: 1, Kind: 99, From: "a"}),
		"an unknown status":         encode(Message{Protocol: 1, Kind: kindGossip, From: "a", Updates: []memberUpdate{{ID: "b", Status: 9}}}),
		"update without an ID":      encode(Message{Protocol: 1, Kind: kindGossip, From: "a", Updates: []memberUpdate{{Status: 1}}}),
		"too many updates":          encode(Message{Protocol: 1, Kind: kindGossip, From: "a", Updates: make([]memberUpdate, maxUpdates+1)}),
		"reading without an end":    encode(Message{Protocol: 1, Kind: kindReading, From: "a", Want: []ID{"a"}}),
		"reading with a bad range":  encode(Message{Protocol: 1, Kind: kindReading, From: "a", Want: []ID{"a", long}}),
		"reading with a short hash": encode(Message{Protocol: 1, Kind: kindReading, From: "a", Address: []byte{1, 2, 3}}),
		"reading of a far time":     encode(Message{Protocol: 1, Kind: kindReading, From: "a", Seq: math.MaxUint64}),
		"protocol 0":                encode(Message{Protocol: 0, Kind: kindPing, From: "a"}),
		"protocol 200":              encode(Message{Protocol: 200, Kind: kindPing, From: "a"}),
	}
}

func TestBadDatagramsAreRejected(t *testing.T) {
	for name, data := range badDatagrams() {
		_, err := DecodeMessage(data)
		want := result.MessageInvalid
		if strings.HasPrefix(name, "protocol") {
			want = result.LinkVersion
		}
		if !result.Is(err, want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// FuzzDecode passes decoded datagrams to a state, which must not panic and must return a limited number of actions.
func FuzzDecode(f *testing.F) {
	for _, data := range badDatagrams() {
		f.Add(data)
	}
	raw, _ := encodeRecord(testRecord("b", 3))
	for k := kindPing; k <= kindReading; k++ {
		m := Message{
			Protocol: 1, Kind: k, From: "b", Seq: 1, Target: "id-0000", Address: []byte{10, 0, 0, 1, 1, 1},
			Updates: []memberUpdate{{ID: "id-0000", Status: statusFailed, Incarnation: 7}, {ID: "c", Status: statusSuspect, Version: 2}},
			Want:    []ID{"id-0000"}, Records: []cbor.RawMessage{raw},
		}
		data, _ := m.Encode()
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var request SyncRequest
		_ = DecodeSync(data, &request)
		_, _ = decodeRecord(data)
		m, err := DecodeMessage(data)
		if err != nil {
			return
		}
		w := newNetwork(1, 1)
		s := w.nodes[0].state
		out := s.Receive(w.now, netip.MustParseAddrPort("10.0.0.9:9"), m)
		s.Directory()
		if len(out) > 2*maxUpdates+maxExtraActions {
			t.Errorf("%d actions", len(out))
		}
	})
}

// maxExtraActions is how many further actions one datagram may cause.
const maxExtraActions = 64

func TestAuthenticationCodesAreVerified(t *testing.T) {
	is := is.New(t)
	oldKey, bothKeys, newKey := NewAuthenticator("old"), NewAuthenticator("next", "old"), NewAuthenticator("next")
	for _, c := range []struct {
		name             string
		signer, verifier *Authenticator
		ok               bool
	}{
		{"same key", oldKey, oldKey, true},
		{"rotation in progress", oldKey, bothKeys, true},
		{"rotation complete", bothKeys, newKey, true},
		{"other key", oldKey, newKey, false},
		{"no key", NewAuthenticator(), oldKey, false},
	} {
		got, err := c.verifier.Verify(c.signer.Sign([]byte("a datagram of some length")))
		is.Equal(err == nil, c.ok)
		if c.ok {
			is.Equal(string(got), "a datagram of some length")
		} else {
			is.Equal(result.CodeOf(err), result.LinkRefused)
		}
	}
	signed := oldKey.Sign([]byte("datagram"))
	signed[0]++
	_, err := oldKey.Verify(signed)
	is.True(err != nil)
	_, err = oldKey.Verify([]byte("short"))
	is.True(err != nil)
}
