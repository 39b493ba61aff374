package membership

import (
	"math"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"amaranthstile/result"
)

// kind is the purpose of a message.
type kind uint8

const (
	// kindPing asks the process Target for an acknowledgement; an empty Target asks any process at the address.
	kindPing kind = iota + 1
	// kindAck acknowledges a ping, or reports the acknowledgement of an indirect probe.
	kindAck
	// kindNack reports that an indirect probe was sent and is not acknowledged yet.
	kindNack
	// kindPingRequest asks the receiver to probe Target at Address.
	kindPingRequest
	// kindGossip carries only updates and the fields that every message has.
	kindGossip
	// kindPull requests the records of the members in Want.
	kindPull
	// kindRecords answers a pull.
	kindRecords
	// kindTooLarge answers a pull of a record that is too large for a datagram; the requester synchronizes instead.
	kindTooLarge
	// kindReading carries a Reading: At in Seq, in Unix milliseconds, StateHash in Address, and From and To in Want. Only
	// instances whose record names a protocol version with readings get it.
	kindReading
)

// status is the state of a member in an update.
type status uint8

const (
	statusAlive status = iota + 1
	statusSuspect
	statusFailed
	statusLeft
)

// memberUpdate is the state of one member without its record. A receiver that lacks the record pulls it.
type memberUpdate struct {
	_           struct{} `cbor:",toarray"`
	ID          ID
	Incarnation uint64
	Version     uint64
	Status      status
	// Observer is a hash of the ID of the instance that suspects the member, so that each observer counts as one
	// confirmation.
	Observer uint32
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
	// ViewHash is a hash of the sender's view. Only pings and acknowledgements carry it.
	ViewHash uint64
	Updates  []memberUpdate
	Want     []ID
	Records  []cbor.RawMessage
}

// protocolVersion is the message version that this program writes, minProtocolVersion the oldest that it reads.
const (
	protocolVersion    = 1
	minProtocolVersion = 1
)

var (
	encoder, _ = cbor.EncOptions{}.EncMode()
	decoder, _ = cbor.DecOptions{
		MaxNestedLevels:  8,
		MaxArrayElements: maxSyncUpdates,
		MaxMapPairs:      64,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
)

// Encode returns the encoded message. The caller keeps it within the size of a datagram.
func (m *Message) Encode() ([]byte, error) { return encoder.Marshal(m) }

// DecodeMessage decodes and validates a datagram. The error carries MessageInvalid if the message is malformed or
// exceeds a limit, and LinkVersion if its protocol version is not supported.
func DecodeMessage(data []byte) (*Message, error) {
	if len(data) > maxDatagramBytes {
		return nil, result.New(result.MessageInvalid, "datagram of %d bytes is too large", len(data))
	}
	m := &Message{}
	if err := decoder.Unmarshal(data, m); err != nil {
		return nil, result.Wrap(result.MessageInvalid, err, "cannot decode membership message")
	}
	if m.Protocol < minProtocolVersion || m.Protocol > protocolVersion {
		return nil, result.New(result.LinkVersion, "unsupported membership protocol version %d", m.Protocol)
	}
	return m, m.validate()
}

// validate checks the limits of a decoded message.
func (m *Message) validate() error {
	if m.Kind < kindPing || m.Kind > kindReading {
		return result.New(result.MessageInvalid, "unknown message kind %d", m.Kind)
	}
	if !validID(m.From) || len(m.Target) > maxIDBytes {
		return result.New(result.MessageInvalid, "sender ID of %d bytes or target ID of %d bytes is out of bounds", len(m.From), len(m.Target))
	}
	if len(m.Want) > maxUpdates || len(m.Updates) > maxUpdates {
		return result.New(result.MessageInvalid, "message has too many updates or requested records")
	}
	if m.Kind == kindReading && !validReading(m) {
		return result.New(result.MessageInvalid, "reading at %d ms with a range of %d IDs and a state hash of %d bytes",
			m.Seq, len(m.Want), len(m.Address))
	}
	return checkUpdates(m.Updates)
}

// checkUpdates checks the IDs and the status of updates.
func checkUpdates(updates []memberUpdate) error {
	for _, u := range updates {
		if !validID(u.ID) || u.Status < statusAlive || u.Status > statusLeft {
			return result.New(result.MessageInvalid, "invalid update with status %d and an ID of %d bytes", u.Status, len(u.ID))
		}
	}
	return nil
}

func validID(id ID) bool { return id != "" && len(id) <= maxIDBytes }

// wireRecord is the encoded form of a Record.
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
	// Protocols is the range of control protocol versions that the instance supports.
	Protocols [2]uint8
}

// wireEndpoint is the encoded form of an Endpoint.
type wireEndpoint struct {
	_               struct{} `cbor:",toarray"`
	Backend         string
	Service         string
	Slots           uint16
	State           uint8
	Badness         uint8
	Trials          bool
	Latency         uint64
	FailurePermille uint16
}

func toWireEndpoint(e Endpoint) wireEndpoint {
	return wireEndpoint{
		Backend: e.Backend, Service: e.Service, Slots: uint16(e.Slots), State: stateNumber(e.State),
		Badness: uint8(e.Badness), Trials: e.Trials, Latency: uint64(max(e.LatencyMicros, 0)), FailurePermille: uint16(e.FailurePermille),
	}
}

func fromWireEndpoint(w wireEndpoint) Endpoint {
	return Endpoint{
		Backend: w.Backend, Service: w.Service, Slots: int(w.Slots), State: endpointStates[w.State],
		Badness: int(w.Badness), Trials: w.Trials, LatencyMicros: int64(min(w.Latency, math.MaxInt64)), FailurePermille: int(w.FailurePermille),
	}
}

// endpointStates lists the endpoint states by their number in encoded records.
var endpointStates = []EndpointState{Active, Warming, Draining, Ejected}

// encodeRecord encodes a record. The error carries MessageInvalid if the record is too large.
func encodeRecord(r *Record) (cbor.RawMessage, error) {
	link, _ := r.Link.MarshalBinary()
	control, _ := r.Control.MarshalBinary()
	w := wireRecord{
		ID: r.ID, Version: r.Version, Name: r.Name, Domain: r.Domain, Region: r.Region,
		Link: link, Control: control, Leaving: r.Leaving, Protocols: r.Protocols,
		Endpoints: make([]wireEndpoint, 0, len(r.Endpoints)),
	}
	for _, e := range r.Endpoints {
		w.Endpoints = append(w.Endpoints, toWireEndpoint(e))
	}
	data, err := encoder.Marshal(w)
	if err == nil && len(data) > maxRecordBytes {
		err = result.New(result.MessageInvalid, "record of %d bytes is too large", len(data))
	}
	return data, err
}

// stateNumber returns the number of an endpoint state in encoded records; unknown states are encoded as Active.
func stateNumber(s EndpointState) uint8 {
	for n, v := range endpointStates {
		if v == s {
			return uint8(n)
		}
	}
	return 0
}

// decodeRecord decodes a record and checks its limits. The error carries MessageInvalid.
func decodeRecord(data []byte) (*Record, error) {
	if len(data) > maxRecordBytes {
		return nil, result.New(result.MessageInvalid, "record of %d bytes is too large", len(data))
	}
	var w wireRecord
	if err := decoder.Unmarshal(data, &w); err != nil {
		return nil, result.Wrap(result.MessageInvalid, err, "cannot decode record")
	}
	if !validID(w.ID) || len(w.Endpoints) > maxEndpoints || anyTooLong(w.Name, w.Domain, w.Region) {
		return nil, result.New(result.MessageInvalid, "record has an invalid ID, a field that is too long or too many endpoints")
	}
	r := &Record{
		ID: w.ID, Version: w.Version, Name: w.Name, Domain: w.Domain, Region: w.Region,
		Leaving: w.Leaving, Protocols: w.Protocols,
	}
	if err := r.Link.UnmarshalBinary(w.Link); err != nil {
		return nil, result.Wrap(result.MessageInvalid, err, "invalid link address")
	}
	if err := r.Control.UnmarshalBinary(w.Control); err != nil || !r.Control.IsValid() {
		return nil, result.New(result.MessageInvalid, "invalid control address")
	}
	for _, e := range w.Endpoints {
		if anyTooLong(e.Backend, e.Service) || int(e.State) >= len(endpointStates) {
			return nil, result.New(result.MessageInvalid, "endpoint has a field that is too long or an unknown state")
		}
		r.Endpoints = append(r.Endpoints, fromWireEndpoint(e))
	}
	return r, nil
}

// anyTooLong reports whether any of the fields exceeds maxNameBytes.
func anyTooLong(fields ...string) bool {
	for _, f := range fields {
		if len(f) > maxNameBytes {
			return true
		}
	}
	return false
}

// decodeAddress decodes an address and reports whether it is valid.
func decodeAddress(b []byte) (netip.AddrPort, bool) {
	var a netip.AddrPort
	err := a.UnmarshalBinary(b)
	return a, err == nil && a.IsValid()
}

// Estimates of encoded sizes in bytes, which the budgets count.
const (
	udpHeaderBytes     = 28
	messageHeaderBytes = 40
	updateBytes        = 14 // without the ID
)

func (u memberUpdate) size() int { return updateBytes + len(u.ID) }

// size estimates the size of the encoded datagram, with the UDP and IP headers and the authentication code.
func (m *Message) size() int {
	size := udpHeaderBytes + authenticationCodeBytes + messageHeaderBytes + len(m.From) + len(m.Target)
	for _, u := range m.Updates {
		size += u.size()
	}
	for _, w := range m.Want {
		size += len(w) + 2
	}
	for _, r := range m.Records {
		size += len(r)
	}
	return size
}
