// Package event defines the numbered log events of the system and the logger that writes them.
//
// Each log line carries the number and the name of one event, so that operators can search and alert by number.
// docs/EVENTS.md lists all events; a test checks that the page matches this package. Keys and request bodies are
// never logged.
package event

import (
	"fmt"
	"io"
	"time"

	"github.com/phuslu/log"
)

// ID is the number of an event. The thousands digit identifies the part of the system.
type ID int

// The events, each named after the stable name in the table below. A number is never reused for another event.
const (
	InstanceStarted  ID = 1001
	InstanceReady    ID = 1002
	InstanceDraining ID = 1003
	InstanceStopped  ID = 1004
	ServerFailed     ID = 1005
	PanicContained   ID = 1006
	SettingsReloaded ID = 1101
	SettingsRefused  ID = 1102
	LogDropped       ID = 1103

	TicketAccepted ID = 2001
	TicketRefused  ID = 2002
	TicketInForce  ID = 2003
	TicketDamaged  ID = 2004

	TicketsCompacted     ID = 2101
	CompactionFailed     ID = 2102
	ConfigurationInForce ID = 2201
	ConfigurationRefused ID = 2202
	WatchSilent          ID = 2203
	StoreBehind          ID = 2204
	DomainEvacuated      ID = 2301
	DomainReturned       ID = 2302
	EvacuationLost       ID = 2303

	ConfigurationReadFailed ID = 2205

	PlatformAway     ID = 3001
	PlatformBack     ID = 3002
	PlatformRestored ID = 3003

	RequestRefused  ID = 4001
	RequestRetried  ID = 4002
	RequestAnswered ID = 4003
	HomeSilent      ID = 4205

	AccountsTransferred ID = 4206
	InstancePaused      ID = 4207

	TryEnded ID = 4004

	StandingGained ID = 4201
	StandingLost   ID = 4202
	RosterProposed ID = 4203

	BackendAnnounced     ID = 5001
	BackendDraining      ID = 5002
	BackendLeft          ID = 5003
	BackendLapsed        ID = 5004
	BackendReported      ID = 5005
	BackendReportIgnored ID = 5006
	BackendReportRefused ID = 5007

	EndpointEjected  ID = 5101
	EndpointTrials   ID = 5102
	EndpointReturned ID = 5103
	LinkOutOfUse     ID = 5104
	LinkBackInUse    ID = 5105
	BackendRests     ID = 5106
	BackendLimited   ID = 5107
	BackendCold      ID = 5108

	MemberJoined ID = 6001
	MemberLeft   ID = 6002

	MemberSuspected    ID = 6101
	MemberFailed       ID = 6102
	MemberAddressTwice ID = 6103
	SuspicionRefuted   ID = 6104
	MessageRefused     ID = 6105
	LinkRefused        ID = 6106
	KeysReloaded       ID = 6107
	KeysRefused        ID = 6108
	StateLoaded        ID = 6109
	StateRefused       ID = 6110
)

// MaxStackBytes bounds the stack trace in the log line of a panic.
const MaxStackBytes = 4 << 10

// PanicFields returns the fields that describe a contained panic.
func PanicFields(reason any, stack []byte) []Field {
	return []Field{F("reason", fmt.Sprint(reason)), F("stack", string(stack[:min(len(stack), MaxStackBytes)]))}
}

// Entry is one row of the table of events.
type Entry struct {
	ID ID
	// Name is the stable name, written as the message of the log line.
	Name string
	// Level is the level at which the event is logged.
	Level log.Level
	// Text describes what happened and what an operator should do.
	Text string
}

// table holds all events in ascending order. docs/EVENTS.md is generated from it.
var table = []Entry{
	{InstanceStarted, "instance-started", log.InfoLevel, "The process listens on all its addresses."},
	{InstanceReady, "instance-ready", log.InfoLevel, "The configuration is loaded; requests are accepted."},
	{InstanceDraining, "instance-draining", log.InfoLevel, "A planned shutdown has begun; no new requests are accepted."},
	{InstanceStopped, "instance-stopped", log.InfoLevel, "The planned shutdown is complete; \"interrupted\" requests could not be finished and got an error response."},
	{ServerFailed, "server-failed", log.ErrorLevel, "A listener failed; restart the instance and check its addresses."},
	{PanicContained, "panic-contained", log.ErrorLevel, "A panic ended one request or call; the process goes on. Report the stack trace as a defect."},
	{SettingsReloaded, "settings-reloaded", log.InfoLevel, "Changed settings are in use."},
	{SettingsRefused, "settings-refused", log.ErrorLevel, "Changed settings are not valid; the old ones stay in use. Correct the file."},
	{LogDropped, "log-dropped", log.WarnLevel, "Log lines were dropped since the last event of this kind, because the limit of lines per second was exceeded."},

	{TicketAccepted, "ticket-accepted", log.InfoLevel, "This instance stored a ticket in the platform."},
	{TicketRefused, "ticket-refused", log.WarnLevel, "A ticket was rejected; the result code gives the reason."},
	{TicketInForce, "ticket-in-force", log.InfoLevel, "A ticket is in force at this instance."},
	{TicketDamaged, "ticket-damaged", log.ErrorLevel, "An object in the platform can't be read; the configuration in force does not change. Check the object."},
	{TicketsCompacted, "tickets-compacted", log.InfoLevel, "This instance stored a snapshot of the tickets in the platform and deleted old entries."},
	{CompactionFailed, "compaction-failed", log.WarnLevel, "A snapshot could not be stored; the next one replaces it. Check the platform if this repeats."},
	{ConfigurationInForce, "configuration-in-force", log.InfoLevel, "A configuration is in force here; \"before\" is the version that it replaces, \"behind_ms\" how long ago another instance first announced a newer one, \"fetch_ms\" how long the transfer of \"bytes\" from the store or the instance in \"from\" took, \"apply_ms\" how long it then took to put it in force."},
	{ConfigurationRefused, "configuration-refused", log.ErrorLevel, "A configuration can't be read and is not used; the result code and the error give the reason."},
	{WatchSilent, "watch-silent", log.WarnLevel, "A read found a configuration or an evacuation that the watch on the store did not report; the watch is restarted."},
	{StoreBehind, "store-behind", log.WarnLevel, "The store holds an older configuration, \"stored\" (0: none), than the one in force here, which stays in force. The operator has to write the newest one again."},
	{ConfigurationReadFailed, "configuration-read-failed", log.InfoLevel, "A read of the configuration at the store failed after \"took_ms\"; \"version\" is in force here. Other instances are asked, and the store again."},
	{DomainEvacuated, "domain-evacuated", log.InfoLevel, "A failure domain is evacuated: from now on, this instance sends no requests to backend servers there, and none to its own if it is in that domain. \"from\" is the store or the instance that told it."},
	{DomainReturned, "domain-returned", log.InfoLevel, "The evacuation of a failure domain has ended; its backend servers get requests again."},
	{EvacuationLost, "evacuation-lost", log.WarnLevel, "The store came back from an older copy without the object of an evacuation, which goes on for 30 s. The operator has to write the object again."},

	{PlatformAway, "platform-away", log.WarnLevel, "The platform does not respond; tickets are rejected until it does."},
	{PlatformBack, "platform-back", log.InfoLevel, "The platform responds again."},
	{PlatformRestored, "platform-restored", log.WarnLevel, "The platform's store came back from an older copy; what it had confirmed in its last seconds is gone until it is written again."},

	{RequestRefused, "request-refused", log.InfoLevel, "A request was rejected; the result code gives the reason."},
	{RequestRetried, "request-retried", log.InfoLevel, "A request was sent to another endpoint."},
	{RequestAnswered, "request-answered", log.InfoLevel, "The response of a backend server was passed on."},
	{TryEnded, "try-ended", log.InfoLevel, "One attempt of a request ended without a response to pass on."},

	{StandingGained, "standing-gained", log.InfoLevel, "The instance is authorized to serve client accounts."},
	{StandingLost, "standing-lost", log.WarnLevel, "The instance can't reach a majority of the witnesses, directly or through others; it rejects requests with a key."},
	{RosterProposed, "roster-proposed", log.InfoLevel, "This instance stored a new roster of homes and witnesses."},
	{HomeSilent, "home-silent", log.WarnLevel, "The instance that coordinates the rate limits of some client accounts does not respond; meanwhile this instance applies its own share of the limits. The code is the relay's if that can't reach the coordinator either."},
	{AccountsTransferred, "accounts-transferred", log.InfoLevel, "This instance handed the rate limits of client accounts over to the next instance that coordinates them; with a code other than 0, that one starts without their counts."},
	{InstancePaused, "instance-paused", log.WarnLevel, "This instance did not run for the time given: it was paused or got no processor. Of the client accounts whose rate limits it coordinates, it keeps back what accrued meanwhile, as other instances spent their own shares."},

	{BackendAnnounced, "backend-announced", log.InfoLevel, "A backend server registered itself."},
	{BackendDraining, "backend-draining", log.InfoLevel, "A backend server asked to receive no new requests."},
	{BackendLeft, "backend-left", log.InfoLevel, "A backend server left."},
	{BackendLapsed, "backend-lapsed", log.WarnLevel, "A backend server stopped renewing its lease; check the server."},
	{BackendReported, "backend-reported", log.InfoLevel, "The backend server of this instance reported a change of its state."},
	{BackendReportIgnored, "backend-report-ignored", log.InfoLevel, "A report of a backend server was late, or seems to come from an earlier start of the server; it was ignored, and the code tells why."},
	{BackendReportRefused, "backend-report-refused", log.WarnLevel, "A report of a backend server was not acknowledged: it can't be read, names no usable endpoint or service, or its departure is not stored yet."},

	{EndpointEjected, "endpoint-ejected", log.WarnLevel, "The backend server of this instance fails and is ejected; the line gives the reason and the ejection time. Check the server."},
	{EndpointTrials, "endpoint-trials", log.InfoLevel, "The ejection time of a backend server is over; it receives a few repeatable requests as probes."},
	{EndpointReturned, "endpoint-returned", log.InfoLevel, "An ejected backend server responded to its probe requests and is in use again."},
	{LinkOutOfUse, "link-out-of-use", log.WarnLevel, "The link from this instance to another one fails; other instances may still reach it. Check the network between the two."},
	{LinkBackInUse, "link-back-in-use", log.InfoLevel, "A link that was out of use works again."},
	{BackendRests, "backend-rests", log.InfoLevel, "The backend server is out of use after failed exchanges; the line gives the cooldown."},
	{BackendLimited, "backend-limited", log.InfoLevel, "The backend server names another limit on its requests, \"limit\" a second from all instances together, or none any more (-1)."},
	{BackendCold, "backend-cold", log.InfoLevel, "The backend server is cold for \"cold_ms\" more, during which it gets no more requests than it tolerates, or it is not cold any more (0)."},

	{MemberJoined, "member-joined", log.InfoLevel, "Another instance joined."},
	{MemberLeft, "member-left", log.InfoLevel, "Another instance left after a planned shutdown."},

	{MemberSuspected, "member-suspected", log.InfoLevel, "Another instance does not respond to probes and is suspected to have failed. Many suspicions at once indicate a problem with the network or an overload of this instance."},
	{MemberFailed, "member-failed", log.WarnLevel, "Another instance is considered failed; check it. It rejoins by itself if it is alive."},
	{MemberAddressTwice, "member-address-twice", log.WarnLevel, "Two processes claim the same control address; the one that responds there is used. If this persists, correct the settings of one of them."},
	{SuspicionRefuted, "suspicion-refuted", log.WarnLevel, "Other instances considered this instance failed; it refuted that. If this repeats, check its load and network."},
	{MessageRefused, "message-refused", log.WarnLevel, "A membership message was rejected; the result code gives the reason. Compare the secrets and versions of the two instances."},
	{LinkRefused, "link-refused", log.WarnLevel, "A connection of another process was rejected because it has no valid certificate; check the address."},
	{KeysReloaded, "keys-reloaded", log.InfoLevel, "New keys for connections between instances are in use."},
	{KeysRefused, "keys-refused", log.ErrorLevel, "New keys for connections between instances can't be used; the old ones stay in use. Correct the files."},
	{StateLoaded, "state-loaded", log.InfoLevel, "The configuration was loaded from another instance."},
	{StateRefused, "state-refused", log.WarnLevel, "A complete configuration could not be loaded from another instance; the result code gives the reason, \"took_ms\" when it was given up. Other instances are asked."},
}

// byID indexes the table by event number.
var byID = func() map[ID]Entry {
	m := make(map[ID]Entry, len(table))
	for _, e := range table {
		m[e.ID] = e
	}
	return m
}()

// Table returns all events in ascending order.
func Table() []Entry { return append([]Entry(nil), table...) }

// Entry returns the row of the event.
func (id ID) Entry() Entry { return byID[id] }

// Logger writes numbered events. It must be created with New or NewAsync.
type Logger struct {
	log     *log.Logger
	limiter lineLimiter
	now     func() time.Time
}

// New returns a logger that writes JSON lines to w. Each line contains the name of the instance. Events below level
// ("debug", "info", "warn" or "error") are not written.
func New(w io.Writer, instance, level string) *Logger {
	l := &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("instance", instance).Value(),
		Writer:     log.IOWriter{Writer: w},
	}
	return &Logger{log: l, now: time.Now}
}

// maxPendingLines bounds the lines that wait to be written. Further lines are dropped, so that a reader that stops
// does not block the process.
const maxPendingLines = 4096

// NewAsync is like New, but a separate goroutine writes the lines.
func NewAsync(w io.Writer, instance, level string) *Logger {
	l := New(w, instance, level)
	l.log.Writer = &log.AsyncWriter{ChannelSize: maxPendingLines, DiscardOnFull: true, Writer: log.IOWriter{Writer: w}}
	return l
}

// Close writes the pending lines.
func (l *Logger) Close() {
	if w, ok := l.log.Writer.(io.Closer); ok {
		_ = w.Close()
	}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return New(io.Discard, "", "error") }

// Field is a key and its value in a log line.
type Field struct {
	Name  string
	Value any
}

// F returns a Field.
func F(name string, value any) Field { return Field{Name: name, Value: value} }

// Log writes one event with its fields.
func (l *Logger) Log(id ID, fields ...Field) {
	row := id.Entry()
	e := l.log.WithLevel(row.Level)
	if e == nil {
		return
	}
	if id.isRequestEvent() {
		ok, dropped := l.limiter.allow(l.now())
		if dropped > 0 {
			l.Log(LogDropped, F("dropped", dropped))
		}
		if !ok {
			return
		}
	}
	e.Int("event", int(id))
	for _, f := range fields {
		e.Any(f.Name, f.Value)
	}
	e.Msg(row.Name)
}
