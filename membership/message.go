package membership

import (
	"math"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"amaranthstile/result"
)

// kind tells what a message asks or answers.
type kind uint8

const (
	// kindPing asks for an answer by the process Target; an empty Target asks whoever is there.
	kindPing kind = iota + 1
	// kindAck answers a ping, or reports the answer to an indirect one.
	kindAck
	// kindNack reports that an indirect probe was made and not answered yet.
	kindNack
	// kindPingRequest asks to probe Target at Address.
	kindPingRequest
	// kindSpread only carries news.
	kindSpread
	// kindPull asks for the records of Want.
	kindPull
	// kindRecords answers a pull.
	kindRecords
	// kindTooLarge answers a pull of a record that only a synchronization can carry.
	kindTooLarge
)

// status is what is said of a member.
type status uint8

const (
	statusAlive status = iota + 1
	statusSuspect
	statusFailed
	statusLeft
)

// news says one thing of one member; the record itself is asked for where it is not known.
type news struct {
	_           struct{} `cbor:",toarray"`
	ID          ID
	Incarnation uint64
	Version     uint64
	Status      status
	// By is a hash of the observer who suspects, so that confirmations are counted once each.
	By uint32
}

// Message is one datagram between instances.
type Message struct {
	_        struct{} `cbor:",toarray"`
	Protocol uint8
	Kind     kind
	From     ID
	Seq      uint64
	Target   ID
	Address  []byte
	// Revision is the ticket revision in force at the sender.
	Revision uint64
	// ViewHash is a hash of the sender's view, on probes and their answers.
	ViewHash uint64
	Updates  []news
	Want     []ID
	Records  []cbor.RawMessage
}

// protocolVersion and minProtocolVersion are the messages that this program writes and the oldest it reads.
const (
	protocolVersion    = 1
	minProtocolVersion = 1
)

var (
	encoder, _ = cbor.EncOptions{}.EncMode()
	decoder, _ = cbor.DecOptions{
		MaxNestedLevels:  8,
		MaxArrayElements: maxSyncNews,
		MaxMapPairs:      64,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
)

// Encode writes the message; it fits a datagram.
func (m *Message) Encode() ([]byte, error) { return encoder.Marshal(m) }

// DecodeMessage reads a datagram. The error carries MessageInvalid for what breaks a bound and LinkVersion
// for a protocol that this program does not read.
func DecodeMessage(data []byte) (*Message, error) {
	if len(data) > maxDatagramBytes {
		return nil, result.New(result.MessageInvalid, "a datagram of %d bytes", len(data))
	}
	m := &Message{}
	if err := decoder.Unmarshal(data, m); err != nil {
		return nil, result.Wrap(result.MessageInvalid, err, "membership message")
	}
	if m.Protocol < minProtocolVersion || m.Protocol > protocolVersion {
		return nil, result.New(result.LinkVersion, "membership protocol %d", m.Protocol)
	}
	return m, m.check()
}

func (m *Message) check() error {
	if m.Kind < kindPing || m.Kind > kindTooLarge {
		return result.New(result.MessageInvalid, "no message of kind %d", m.Kind)
	}
	if !validID(m.From) || len(m.Target) > maxIDBytes {
		return result.New(result.MessageInvalid, "identities of %d and %d bytes", len(m.From), len(m.Target))
	}
	if len(m.Want) > maxNews || len(m.Updates) > maxNews {
		return result.New(result.MessageInvalid, "a message holds too much")
	}
	return checkNews(m.Updates)
}

func checkNews(list []news) error {
	for _, n := range list {
		if !validID(n.ID) || n.Status < statusAlive || n.Status > statusLeft {
			return result.New(result.MessageInvalid, "news with status %d of an identity of %d bytes", n.Status, len(n.ID))
		}
	}
	return nil
}

func validID(id ID) bool { return id != "" && len(id) <= maxIDBytes }

// wireRecord is a record as it travels.
type wireRecord struct {
	_         struct{} `cbor:",toarray"`
	ID        ID
	Version   uint64
	Name      string
	Domain    string
	Region    string
	Link      []byte
	Control   []byte
	Leaving   bool
	Endpoints []wireEndpoint
	// Protocols is the range of control protocols that the instance speaks.
	Protocols [2]uint8
}

type wireEndpoint struct {
	_       struct{} `cbor:",toarray"`
	Backend string
	Service string
	Slots   uint16
	State   uint8
	Badness uint8
	Trials  bool
	Level   uint64
	Failing uint16
}

func toWire(e Endpoint) wireEndpoint {
	return wireEndpoint{
		Backend: e.Backend, Service: e.Service, Slots: uint16(e.Slots), State: stateNumber(e.State),
		Badness: uint8(e.Badness), Trials: e.Trials, Level: uint64(max(e.LatencyMicros, 0)), Failing: uint16(e.FailurePermille),
	}
}

func fromWire(w wireEndpoint) Endpoint {
	return Endpoint{
		Backend: w.Backend, Service: w.Service, Slots: int(w.Slots), State: endpointStates[w.State],
		Badness: int(w.Badness), Trials: w.Trials, LatencyMicros: int64(min(w.Level, math.MaxInt64)), FailurePermille: int(w.Failing),
	}
}

var endpointStates = []EndpointState{Active, Warming, Draining, Ejected}

func encodeRecord(r *Record) (cbor.RawMessage, error) {
	link, _ := r.Link.MarshalBinary()
	control, _ := r.Control.MarshalBinary()
	w := wireRecord{
		ID: r.ID, Version: r.Version, Name: r.Name, Domain: r.Domain, Region: r.Region,
		Link: link, Control: control, Leaving: r.Leaving, Protocols: r.Protocols,
		Endpoints: make([]wireEndpoint, 0, len(r.Endpoints)),
	}
	for _, e := range r.Endpoints {
		w.Endpoints = append(w.Endpoints, toWire(e))
	}
	data, err := encoder.Marshal(w)
	if err == nil && len(data) > maxRecordBytes {
		err = result.New(result.MessageInvalid, "a record of %d bytes", len(data))
	}
	return data, err
}

func stateNumber(s EndpointState) uint8 {
	for n, v := range endpointStates {
		if v == s {
			return uint8(n)
		}
	}
	return 0
}

// decodeRecord reads a record and checks its bounds; the error carries MessageInvalid.
func decodeRecord(data []byte) (*Record, error) {
	if len(data) > maxRecordBytes {
		return nil, result.New(result.MessageInvalid, "a record of %d bytes", len(data))
	}
	var w wireRecord
	if err := decoder.Unmarshal(data, &w); err != nil {
		return nil, result.Wrap(result.MessageInvalid, err, "record")
	}
	if !validID(w.ID) || len(w.Endpoints) > maxEndpoints || tooLong(w.Name, w.Domain, w.Region) {
		return nil, result.New(result.MessageInvalid, "a record breaks a bound")
	}
	r := &Record{
		ID: w.ID, Version: w.Version, Name: w.Name, Domain: w.Domain, Region: w.Region,
		Leaving: w.Leaving, Protocols: w.Protocols,
	}
	if err := r.Link.UnmarshalBinary(w.Link); err != nil {
		return nil, result.Wrap(result.MessageInvalid, err, "link address")
	}
	if err := r.Control.UnmarshalBinary(w.Control); err != nil || !r.Control.IsValid() {
		return nil, result.New(result.MessageInvalid, "control address")
	}
	for _, e := range w.Endpoints {
		if tooLong(e.Backend, e.Service) || int(e.State) >= len(endpointStates) {
			return nil, result.New(result.MessageInvalid, "an endpoint breaks a bound")
		}
		r.Endpoints = append(r.Endpoints, fromWire(e))
	}
	return r, nil
}

func tooLong(fields ...string) bool {
	for _, f := range fields {
		if len(f) > maxNameBytes {
			return true
		}
	}
	return false
}

func decodeAddress(b []byte) (netip.AddrPort, bool) {
	var a netip.AddrPort
	err := a.UnmarshalBinary(b)
	return a, err == nil && a.IsValid()
}

// The estimates of encoded sizes by which budgets are kept, in bytes.
const (
	udpHeaderBytes     = 28
	messageHeaderBytes = 40
	newsBytes          = 14 // besides the identity
)

func (n news) size() int { return newsBytes + len(n.ID) }

func (m *Message) size() int {
	size := udpHeaderBytes + sealBytes + messageHeaderBytes + len(m.From) + len(m.Target)
	for _, n := range m.Updates {
		size += n.size()
	}
	for _, w := range m.Want {
		size += len(w) + 2
	}
	for _, r := range m.Records {
		size += len(r)
	}
	return size
}
