// Package event holds the numbered log events of the system and the logger that writes them.
//
// Each log line carries one event number and name, so that operators search and alert by number.
// docs/EVENTS.md lists them; a test keeps that page and this package equal. Keys and request bodies
// are never logged.
package event

import (
	"io"
	"time"

	"github.com/phuslu/log"
)

// ID is the number of an event. The thousands name the part of the system.
type ID int

// The events. Numbers are never given a second time.
const (
	InstanceStarted  ID = 1001
	InstanceReady    ID = 1002
	InstanceDraining ID = 1003
	InstanceStopped  ID = 1004
	ServerFailed     ID = 1005
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

	PlatformAway ID = 3001
	PlatformBack ID = 3002

	RequestRefused  ID = 4001
	RequestRetried  ID = 4002
	RequestAnswered ID = 4003
	HomeSilent      ID = 4205
	TryEnded        ID = 4004

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

// Entry is one row of the catalogue of events.
type Entry struct {
	ID ID
	// Name is the stable name.
	Name string
	// Level is the level at which it is written.
	Level log.Level
	// Text says what happened and what an operator does about it.
	Text string
}

var table = []Entry{
	{InstanceStarted, "instance-started", log.InfoLevel, "The process listens on all its addresses."},
	{InstanceReady, "instance-ready", log.InfoLevel, "The configuration is loaded; requests are taken."},
	{InstanceDraining, "instance-draining", log.InfoLevel, "A planned stop began; nothing new is taken."},
	{InstanceStopped, "instance-stopped", log.InfoLevel, "The planned stop is over."},
	{ServerFailed, "server-failed", log.ErrorLevel, "A listener failed; restart the instance and look at its addresses."},
	{SettingsReloaded, "settings-reloaded", log.InfoLevel, "Changed settings are in use."},
	{SettingsRefused, "settings-refused", log.ErrorLevel, "Changed settings can't be used; the old ones stay in force. Correct the file."},
	{LogDropped, "log-dropped", log.WarnLevel, "Log lines were dropped since the last such line, because more came than are written."},

	{TicketAccepted, "ticket-accepted", log.InfoLevel, "This instance recorded a ticket in the platform."},
	{TicketRefused, "ticket-refused", log.WarnLevel, "A ticket was refused; the result code says why."},
	{TicketInForce, "ticket-in-force", log.InfoLevel, "A ticket is in force at this instance."},
	{TicketDamaged, "ticket-damaged", log.ErrorLevel, "An object in the platform can't be read; what is in force stays in force. Look at the object."},
	{TicketsCompacted, "tickets-compacted", log.InfoLevel, "This instance recorded a snapshot of the tickets in the platform and deleted old entries."},
	{CompactionFailed, "compaction-failed", log.WarnLevel, "A snapshot could not be recorded; the next one makes up for it. Look at the platform if it comes again."},
	{ConfigurationInForce, "configuration-in-force", log.InfoLevel, "A configuration is in force here; \"before\" is the version that it replaces."},
	{ConfigurationRefused, "configuration-refused", log.ErrorLevel, "A configuration can't be read and is not used; the result code and the error say why."},
	{WatchSilent, "watch-silent", log.WarnLevel, "A configuration was found by reading while the wait at the store was silent; the wait is begun anew."},

	{PlatformAway, "platform-away", log.WarnLevel, "The platform does not answer; tickets are refused until it does."},
	{PlatformBack, "platform-back", log.InfoLevel, "The platform answers again."},

	{RequestRefused, "request-refused", log.InfoLevel, "A request was refused; the result code says why."},
	{RequestRetried, "request-retried", log.InfoLevel, "A request was sent to another endpoint."},
	{RequestAnswered, "request-answered", log.InfoLevel, "A backend server's answer was passed on."},
	{TryEnded, "try-ended", log.InfoLevel, "One try of a request ended without an answer to pass on."},

	{StandingGained, "standing-gained", log.InfoLevel, "The instance may act for client accounts."},
	{StandingLost, "standing-lost", log.WarnLevel, "The instance can't reach a majority of the witnesses, directly or through others; requests with a key are refused here."},
	{RosterProposed, "roster-proposed", log.InfoLevel, "This instance recorded a new roster of homes and witnesses."},
	{HomeSilent, "home-silent", log.WarnLevel, "The instance that counts for some client accounts does not answer; for now this instance goes by its own part of their rates."},

	{BackendAnnounced, "backend-announced", log.InfoLevel, "A backend server announced itself."},
	{BackendDraining, "backend-draining", log.InfoLevel, "A backend server asked for no new work."},
	{BackendLeft, "backend-left", log.InfoLevel, "A backend server left."},
	{BackendLapsed, "backend-lapsed", log.WarnLevel, "A backend server stopped renewing its lease; look at the server."},
	{BackendReported, "backend-reported", log.InfoLevel, "The backend server beside this instance said something new of itself."},
	{BackendReportIgnored, "backend-report-ignored", log.InfoLevel, "A report of a backend server was late or of an earlier start, and changed nothing."},
	{BackendReportRefused, "backend-report-refused", log.WarnLevel, "A report of a backend server can't be read; it names no endpoint to use."},

	{EndpointEjected, "endpoint-ejected", log.WarnLevel, "A backend server beside this instance fails and is out of use; the reason and the hold time are in the line. Look at the server."},
	{EndpointTrials, "endpoint-trials", log.InfoLevel, "The hold time of an ejected backend server is over; it gets a few repeatable requests."},
	{EndpointReturned, "endpoint-returned", log.InfoLevel, "An ejected backend server answered its trial requests and is in use again."},
	{LinkOutOfUse, "link-out-of-use", log.WarnLevel, "This instance's link to another one fails; other instances may still reach it. Look at the network between the two."},
	{LinkBackInUse, "link-back-in-use", log.InfoLevel, "A link that was out of use answers again."},
	{BackendRests, "backend-rests", log.InfoLevel, "The backend server is out of use after broken exchanges, for the time that is told."},

	{MemberJoined, "member-joined", log.InfoLevel, "Another instance joined."},
	{MemberLeft, "member-left", log.InfoLevel, "Another instance left as planned."},

	{MemberSuspected, "member-suspected", log.InfoLevel, "Another instance does not answer probes and is suspected to have failed; many at once point at the network or this instance's own load."},
	{MemberFailed, "member-failed", log.WarnLevel, "Another instance is taken for failed; look at it. It comes back by itself if it lives."},
	{MemberAddressTwice, "member-address-twice", log.WarnLevel, "Two processes claim one control address; the one that answers there is used. If it lasts, correct the settings of one."},
	{SuspicionRefuted, "suspicion-refuted", log.WarnLevel, "Others took this instance for failed; it refuted. Often: look at its load and network."},
	{MessageRefused, "message-refused", log.WarnLevel, "A membership message was refused; the result code says why. Compare the secrets and versions of the two instances."},
	{LinkRefused, "link-refused", log.WarnLevel, "A connection of another process was refused for want of a right certificate; look at the address."},
	{KeysReloaded, "keys-reloaded", log.InfoLevel, "New keys for the links are in use."},
	{KeysRefused, "keys-refused", log.ErrorLevel, "New keys for the links can't be used; the old ones stay in use. Correct the files."},
	{StateLoaded, "state-loaded", log.InfoLevel, "The configuration was loaded from another instance."},
	{StateRefused, "state-refused", log.WarnLevel, "A whole configuration could not be loaded from another instance; the result code says why. Others are asked."},
}

var byID = func() map[ID]Entry {
	m := make(map[ID]Entry, len(table))
	for _, e := range table {
		m[e.ID] = e
	}
	return m
}()

// Table returns the catalogue in ascending order.
func Table() []Entry { return append([]Entry(nil), table...) }

// Entry returns the row of the event.
func (id ID) Entry() Entry { return byID[id] }

// Logger writes numbered events. The zero value is not usable; make one with New.
type Logger struct {
	log   *log.Logger
	bound bound
	now   func() time.Time
}

// New returns a logger that writes JSON lines to w, with the instance's name in each line,
// from level upward ("debug", "info", "warn", "error").
func New(w io.Writer, instance, level string) *Logger {
	l := &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("instance", instance).Value(),
		Writer:     log.IOWriter{Writer: w},
	}
	return &Logger{log: l, now: time.Now}
}

// pendingLines bounds the lines that wait to be written; more are dropped, so that a reader that stops holds nobody up.
const pendingLines = 4096

// NewAsync returns a logger like New whose lines are written by a goroutine of its own.
func NewAsync(w io.Writer, instance, level string) *Logger {
	l := New(w, instance, level)
	l.log.Writer = &log.AsyncWriter{ChannelSize: pendingLines, DiscardOnFull: true, Writer: log.IOWriter{Writer: w}}
	return l
}

// Close writes what waits to be written.
func (l *Logger) Close() {
	if w, ok := l.log.Writer.(io.Closer); ok {
		_ = w.Close()
	}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return New(io.Discard, "", "error") }

// Field is one name and value of a log line.
type Field struct {
	Name  string
	Value any
}

// F makes a Field.
func F(name string, value any) Field { return Field{Name: name, Value: value} }

// Log writes one event with its fields.
func (l *Logger) Log(id ID, fields ...Field) {
	row := id.Entry()
	e := l.log.WithLevel(row.Level)
	if e == nil {
		return
	}
	if id.ofRequest() {
		ok, dropped := l.bound.take(l.now())
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
