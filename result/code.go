package result

import "net/http"

// Code is the number of a result. The thousands digit identifies the part of the system that it concerns.
type Code int

// The result codes, each named after the stable name in the table below. A number is never reused for another
// meaning.
const (
	OK       Code = 0
	Internal Code = 1

	SettingsUnreadable   Code = 1001
	SettingsUnknownField Code = 1002
	SettingsBadAddress   Code = 1003
	SettingsOutOfRange   Code = 1004
	SettingsMissing      Code = 1005
	SettingsTwice        Code = 1101

	TicketUnreadable     Code = 2001
	TicketInvalid        Code = 2002
	TicketUnknownService Code = 2003
	TicketKeyTwice       Code = 2004
	TicketBadRate        Code = 2005
	TicketBadFloor       Code = 2006
	TicketNumberUsed     Code = 2007
	TicketOutdated       Code = 2008
	TicketTooLarge       Code = 2009
	TicketOutcomeUnknown Code = 2010
	TicketNotFound       Code = 2011
	TicketServiceInUse   Code = 2012
	TicketRouteTwice     Code = 2013

	SnapshotDamaged Code = 2101
	SnapshotMissing Code = 2102

	PlatformUnavailable    Code = 3001
	PlatformConflict       Code = 3002
	PlatformNotFound       Code = 3003
	PlatformTooLarge       Code = 3004
	PlatformLimited        Code = 3005
	PlatformOutcomeUnknown Code = 3006
	PlatformProtocol       Code = 3007
	PlatformHistoryGone    Code = 3008
	PlatformNameInvalid    Code = 3101

	RouteNotFound       Code = 4001
	KeyMissing          Code = 4002
	KeyRejected         Code = 4003
	RateExceeded        Code = 4004
	NoEndpoint          Code = 4005
	DeadlinePassed      Code = 4006
	RequestInvalid      Code = 4007
	RequestTooLarge     Code = 4008
	HeadersTooLarge     Code = 4009
	ShuttingDown        Code = 4010
	NoStanding          Code = 4011
	QueueFull           Code = 4012
	CallerGone          Code = 4013
	IdempotencyMismatch Code = 4014
	IdempotencyUnknown  Code = 4015
	RetryBudgetSpent    Code = 4016
	NotReady            Code = 4017
	PathAmbiguous       Code = 4018
	MethodRefused       Code = 4019
	RequestTimeout      Code = 4020
	ExchangeRepeated    Code = 4021
	AnswerProtocol      Code = 4022
	IdempotencyKeyForm  Code = 4023
	TryGivenUp          Code = 4025
	AnswerEndUnseen     Code = 4026
	MemoryShort         Code = 4027

	WitnessesMissing Code = 4201
	WitnessGone      Code = 4202

	BackendUnreachable Code = 5001
	BackendTimeout     Code = 5002
	AnswerTruncated    Code = 5003
	AnswerCrossed      Code = 5004
	AnswerTooLarge     Code = 5005
	BackendDraining    Code = 5006
	BackendUnknown     Code = 5007
	BackendBusy        Code = 5008
	BackendAborted     Code = 5009
	AnnounceInvalid    Code = 5010
	LeaseUnknown       Code = 5011
	BackendEjected     Code = 5012
	IdentityDraining   Code = 5013
	IdentityTaken      Code = 5014
	BackendShed        Code = 5015
	BackendLimited     Code = 5016
	ReportOutdated     Code = 5017
	ReportUnconfirmed  Code = 5018

	DepartureUnrecorded Code = 5019
	DomainEvacuated     Code = 5020
	BackendCold         Code = 5021

	LinkUnreachable Code = 6001
	LinkBroken      Code = 6002
	LinkRefused     Code = 6003
	LinkVersion     Code = 6004
	PeerUnknown     Code = 6005
	LinkBusy        Code = 6006
	LinkTooLarge    Code = 6007
	LinkTimeout     Code = 6008
	KeysInvalid     Code = 6009

	MessageInvalid Code = 6101
	StateInvalid   Code = 6102

	OperatorRejected Code = 7001
	OperatorUsage    Code = 7002
)

// Entry is one row of the table of result codes.
type Entry struct {
	Code Code
	// Name is the stable name, used in the documentation and in JSON bodies.
	Name string
	// Status is the HTTP status of a response with this code, or 0 if the code is never sent over HTTP.
	Status int
	// Text describes in one sentence what happened.
	Text string
}

// table holds all result codes in ascending order. docs/RESULT-CODES.md is generated from it.
var table = []Entry{
	{OK, "ok", http.StatusOK, "Done."},
	{Internal, "internal", http.StatusInternalServerError, "An internal error of this system."},

	{SettingsUnreadable, "settings-unreadable", 0, "The settings file can't be read or is not JSON."},
	{SettingsUnknownField, "settings-unknown-field", 0, "The settings contain an unknown field."},
	{SettingsBadAddress, "settings-bad-address", 0, "An address is not an IP address with a port."},
	{SettingsOutOfRange, "settings-out-of-range", 0, "A value is outside its allowed range."},
	{SettingsMissing, "settings-missing", 0, "A required field is missing."},
	{SettingsTwice, "settings-twice", 0, "A key or an address occurs twice."},

	{TicketUnreadable, "ticket-unreadable", http.StatusBadRequest, "The ticket is not valid JSON or contains an unknown field."},
	{TicketInvalid, "ticket-invalid", http.StatusUnprocessableEntity, "A field of the ticket is not valid."},
	{TicketUnknownService, "ticket-unknown-service", http.StatusUnprocessableEntity, "A route names a service that does not exist."},
	{TicketKeyTwice, "ticket-key-twice", http.StatusUnprocessableEntity, "A key would belong to two client accounts."},
	{TicketBadRate, "ticket-bad-rate", http.StatusUnprocessableEntity, "A rate is not positive or a burst is below one."},
	{TicketBadFloor, "ticket-bad-floor", http.StatusUnprocessableEntity, "A floor is outside 0 to 1."},
	{TicketNumberUsed, "ticket-number-used", http.StatusConflict, "Another ticket with this number was already accepted."},
	{TicketOutdated, "ticket-outdated", http.StatusConflict, "A newer ticket has already set what this ticket would replace."},
	{TicketTooLarge, "ticket-too-large", http.StatusRequestEntityTooLarge, "The ticket is larger than the platform can store."},
	{TicketOutcomeUnknown, "ticket-outcome-unknown", http.StatusServiceUnavailable, "It is not yet known whether the ticket was accepted; send it again unchanged."},
	{TicketNotFound, "ticket-not-found", http.StatusNotFound, "There is no ticket with this number."},
	{TicketServiceInUse, "ticket-service-in-use", http.StatusUnprocessableEntity, "The ticket would remove a service that a route still names."},
	{TicketRouteTwice, "ticket-route-twice", http.StatusUnprocessableEntity, "Two routes would have the same host and path prefix."},

	{SnapshotDamaged, "snapshot-damaged", http.StatusBadGateway, "A snapshot of the configuration is damaged or not valid."},
	{SnapshotMissing, "snapshot-missing", http.StatusServiceUnavailable, "The tickets that the platform returns currently have a gap; try again."},

	{PlatformUnavailable, "platform-unavailable", http.StatusServiceUnavailable, "The platform did not respond."},
	{PlatformConflict, "platform-conflict", http.StatusConflict, "The object has changed since it was read."},
	{PlatformNotFound, "platform-not-found", http.StatusNotFound, "The object does not exist."},
	{PlatformTooLarge, "platform-too-large", http.StatusRequestEntityTooLarge, "The value is larger than the platform can store."},
	{PlatformLimited, "platform-limited", http.StatusTooManyRequests, "The rate limit of the platform is exceeded."},
	{PlatformOutcomeUnknown, "platform-outcome-unknown", http.StatusServiceUnavailable, "A write may have taken effect; its response was lost."},
	{PlatformProtocol, "platform-protocol", http.StatusBadGateway, "The response of the platform violates its protocol."},
	{PlatformHistoryGone, "platform-history-gone", http.StatusGone, "The changes since the requested revision are no longer available; read the current state again."},
	{PlatformNameInvalid, "platform-name-invalid", http.StatusBadRequest, "The name is not valid for an object."},

	{RouteNotFound, "route-not-found", http.StatusNotFound, "No route matches the host and path."},
	{KeyMissing, "key-missing", http.StatusUnauthorized, "The route requires a key and the request has none."},
	{KeyRejected, "key-rejected", http.StatusUnauthorized, "The key belongs to no client account."},
	{RateExceeded, "rate-exceeded", http.StatusTooManyRequests, "The rate limit of the client account is exceeded until after the deadline of the request."},
	{NoEndpoint, "no-endpoint", http.StatusServiceUnavailable, "No endpoint of the service can accept the request."},
	{DeadlinePassed, "deadline-passed", http.StatusGatewayTimeout, "The time limit of the request has passed."},
	{RequestInvalid, "request-invalid", http.StatusBadRequest, "The request is malformed or its body ended early."},
	{RequestTooLarge, "request-too-large", http.StatusRequestEntityTooLarge, "The request body is larger than allowed."},
	{HeadersTooLarge, "headers-too-large", http.StatusRequestHeaderFieldsTooLarge, "The request headers are larger than allowed."},
	{ShuttingDown, "shutting-down", http.StatusServiceUnavailable, "The instance is shutting down."},
	{NoStanding, "no-standing", http.StatusServiceUnavailable, "The instance can't confirm that its configuration is still in force."},
	{QueueFull, "queue-full", http.StatusServiceUnavailable, "The queue of the client account for the service is full."},
	{CallerGone, "caller-gone", 499, "The client closed its connection."},
	{IdempotencyMismatch, "idempotency-mismatch", http.StatusUnprocessableEntity, "The Idempotency-Key was already used with a different request."},
	{IdempotencyUnknown, "idempotency-unknown", http.StatusConflict, "An earlier attempt with this Idempotency-Key may have run; its response is not known."},
	{RetryBudgetSpent, "retry-budget-spent", http.StatusServiceUnavailable, "The request failed and the retry budget is used up."},
	{NotReady, "not-ready", http.StatusServiceUnavailable, "The instance has not loaded its configuration yet."},
	{PathAmbiguous, "path-ambiguous", http.StatusBadRequest, "The path is ambiguous; send it without empty or dot segments, encoded slashes, backslashes and semicolons."},
	{MethodRefused, "method-refused", http.StatusMethodNotAllowed, "The methods CONNECT and TRACE are not supported."},
	{RequestTimeout, "request-timeout", http.StatusRequestTimeout, "The request was received too slowly."},
	{ExchangeRepeated, "exchange-repeated", http.StatusConflict, "The same transfer of a request between two instances arrived twice."},
	{AnswerProtocol, "answer-protocol", http.StatusBadGateway, "The response of the backend server violates the protocol."},
	{IdempotencyKeyForm, "idempotency-key-form", http.StatusBadRequest, "The Idempotency-Key is empty, too long or given twice, or its prefix is malformed."},
	{TryGivenUp, "try-given-up", http.StatusServiceUnavailable, "An attempt of the request was cancelled because another attempt got a response first."},
	{AnswerEndUnseen, "answer-end-unseen", http.StatusBadGateway, "The response has no length and is too long to buffer, and HTTP/1.0 can't show where it ends."},
	{MemoryShort, "memory-short", http.StatusServiceUnavailable, "The memory that the instance keeps for requests of clients is used up; the request was not run."},

	{WitnessesMissing, "witnesses-missing", http.StatusServiceUnavailable, "Too few witnesses could be informed of the change; it was not accepted. Send it again."},
	{WitnessGone, "witness-gone", http.StatusGone, "The witness or home that was called has been replaced by another process."},

	{BackendUnreachable, "backend-unreachable", http.StatusBadGateway, "The backend server does not accept connections."},
	{BackendTimeout, "backend-timeout", http.StatusGatewayTimeout, "The backend server did not respond in time."},
	{AnswerTruncated, "answer-truncated", http.StatusBadGateway, "The response of the backend server ended early."},
	{AnswerCrossed, "answer-crossed", http.StatusBadGateway, "The backend server sent the response to another request."},
	{AnswerTooLarge, "answer-too-large", http.StatusBadGateway, "The response headers are larger than allowed."},
	{BackendDraining, "backend-draining", http.StatusServiceUnavailable, "The backend server is draining."},
	{BackendUnknown, "backend-unknown", http.StatusServiceUnavailable, "The backend server is not registered at this instance."},
	{BackendBusy, "backend-busy", http.StatusServiceUnavailable, "No slot of the backend server became free in time."},
	{BackendAborted, "backend-aborted", http.StatusBadGateway, "The connection to the backend server broke before a response arrived."},
	{AnnounceInvalid, "announce-invalid", http.StatusBadRequest, "A field of the registration is not valid."},
	{LeaseUnknown, "lease-unknown", http.StatusNotFound, "The lease has expired or was never granted; register again."},
	{BackendEjected, "backend-ejected", http.StatusServiceUnavailable, "The backend server is ejected."},
	{IdentityDraining, "identity-draining", http.StatusConflict, "A backend server with this identity is draining; register again after it has left or its lease has expired."},
	{IdentityTaken, "identity-taken", http.StatusConflict, "A backend server with this identity is registered at another address."},
	{BackendShed, "backend-shed", http.StatusServiceUnavailable, "The backend server rejected the request without running it."},
	{BackendLimited, "backend-limited", http.StatusServiceUnavailable, "The backend server has got all requests that the limit which it names allows for now."},
	{ReportOutdated, "report-outdated", http.StatusConflict, "The report of a backend server was ignored: what it says is out of date, or its process can't be told."},
	{ReportUnconfirmed, "report-unconfirmed", http.StatusServiceUnavailable, "It is not clear yet whether the report comes from the present process of the backend server; report again."},
	{DepartureUnrecorded, "departure-unrecorded", http.StatusServiceUnavailable, "The backend server gets no new requests, but the platform's store does not hold its departure yet; report it again."},
	{DomainEvacuated, "domain-evacuated", http.StatusServiceUnavailable, "The failure domain of the backend server is evacuated; the request was not run there."},
	{BackendCold, "backend-cold", http.StatusServiceUnavailable, "The backend server is cold and has got all requests that it tolerates for now."},

	{LinkUnreachable, "link-unreachable", http.StatusBadGateway, "The other instance does not accept connections."},
	{LinkBroken, "link-broken", http.StatusBadGateway, "The connection to the other instance broke before a response arrived."},
	{LinkRefused, "link-refused", http.StatusForbidden, "The other side has no valid certificate."},
	{LinkVersion, "link-version", http.StatusUpgradeRequired, "The two instances support no common protocol version."},
	{PeerUnknown, "peer-unknown", http.StatusNotFound, "The instance is not a known member of the fleet."},
	{LinkBusy, "link-busy", http.StatusServiceUnavailable, "The connection to the other instance has reached its limit of calls in flight."},
	{LinkTooLarge, "link-too-large", http.StatusRequestEntityTooLarge, "A message between instances is larger than allowed."},
	{LinkTimeout, "link-timeout", http.StatusGatewayTimeout, "The other instance did not respond to a call in time."},
	{KeysInvalid, "keys-invalid", 0, "The keys for connections between instances can't be read or do not match each other."},

	{MessageInvalid, "message-invalid", http.StatusBadRequest, "A membership message violates its protocol or a limit."},
	{StateInvalid, "state-invalid", http.StatusBadGateway, "The configuration received from another instance can't be verified."},

	{OperatorRejected, "operator-rejected", http.StatusUnauthorized, "The operator key is missing or wrong."},
	{OperatorUsage, "operator-usage", http.StatusBadRequest, "The arguments of the call are wrong."},
}

// byCode indexes the table by code.
var byCode = func() map[Code]Entry {
	m := make(map[Code]Entry, len(table))
	for _, e := range table {
		m[e.Code] = e
	}
	return m
}()

// Table returns every code in ascending order.
func Table() []Entry {
	return append([]Entry(nil), table...)
}

// Entry returns the row of the code, or the row of Internal for an unknown code.
func (c Code) Entry() Entry {
	if e, ok := byCode[c]; ok {
		return e
	}
	return byCode[Internal]
}

// String returns the code's name.
func (c Code) String() string { return c.Entry().Name }

// HTTPStatus returns the HTTP status for the code, or 500 for a code that has none.
func (c Code) HTTPStatus() int {
	if s := c.Entry().Status; s != 0 {
		return s
	}
	return http.StatusInternalServerError
}
