package instance

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"amaranthstile/event"
	"amaranthstile/idempotency"
	"amaranthstile/internal/httpserver"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
	"amaranthstile/ticket"
)

// The paths of the administration address; docs/OPERATORS.md describes them.
const (
	PathTickets     = "/v1/tickets"
	PathCheckTicket = "/v1/tickets/check"
	PathBackends    = "/v1/backends"
	PathAccounts    = "/v1/accounts"
	PathState       = "/state"
	PathMetrics     = "/metrics"
	PathLive        = "/live"
	PathReady       = "/ready"
)

// State is a dump of the state of an instance.
type State struct {
	ID       membership.ID `json:"id"`
	Name     string        `json:"name"`
	Domain   string        `json:"domain"`
	Region   string        `json:"region"`
	Ready    bool          `json:"ready"`
	Stopping bool          `json:"stopping"`
	// Revision is the last ticket revision in force at this instance.
	Revision uint64 `json:"revision"`
	// PlatformUnavailable reports whether the last call to the platform failed.
	PlatformUnavailable bool                    `json:"platformAway"`
	Membership          membership.Stats        `json:"membership"`
	Links               link.ControlStats       `json:"links"`
	Replication         ReplicationStats        `json:"spread"`
	Standing            StandingState           `json:"standing"`
	Shares              SharesState             `json:"shares"`
	Instances           []*membership.Record    `json:"instances"`
	Accounts            map[string]AccountState `json:"accounts"`
	// Homes are the statistics of the replicas of Idempotency-Key records at this instance, by name of the replica.
	Homes map[string]idempotency.ReplicaStats `json:"homes"`
}

// AccountState is a client account in a dump. It contains no key.
type AccountState struct {
	Rate  float64 `json:"rate"`
	Burst int     `json:"burst"`
}

func (i *Instance) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathTickets, i.submitTicket)
	mux.HandleFunc("POST "+PathCheckTicket, i.checkTicket)
	mux.HandleFunc("GET "+PathTickets+"/{number}", i.showTicket)
	mux.HandleFunc("GET "+PathBackends, i.listBackends)
	mux.HandleFunc("GET "+PathAccounts, i.listAccounts)
	mux.HandleFunc("GET "+PathState, i.dumpState)
	mux.Handle("GET "+PathMetrics, i.metrics.handler())
	outer := http.NewServeMux()
	outer.HandleFunc("GET "+PathLive, httpserver.IgnoreBody(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	outer.HandleFunc("GET "+PathReady, httpserver.IgnoreBody(i.reportReady))
	outer.Handle("/", i.operatorsOnly(mux))
	return outer
}

// operatorsOnly refuses requests that don't carry the key of an operator.
func (i *Instance) operatorsOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		hash := ticket.HashKey(key)
		for _, k := range i.options.Settings.OperatorKeys {
			if k == hash {
				next.ServeHTTP(w, r)
				return
			}
		}
		httpserver.IgnoreBody(func(http.ResponseWriter, *http.Request) {})(w, r)
		link.WriteClientError(w, result.New(result.OperatorRejected, "the request needs an operator's key"))
	})
}

func (i *Instance) reportReady(w http.ResponseWriter, _ *http.Request) {
	if !i.Serving() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Serving reports whether the instance takes requests: it is ready and not stopping.
func (i *Instance) Serving() bool { return i.isReady() && !i.stopping.Load() }

func (i *Instance) isReady() bool {
	select {
	case <-i.ready:
		return true
	default:
		return false
	}
}

func readTicket(w http.ResponseWriter, r *http.Request) (*ticket.Ticket, bool) {
	data, err := io.ReadAll(io.LimitReader(r.Body, ticket.MaxBytes+1))
	if err != nil {
		err = result.Wrap(result.TicketUnreadable, err, "the request ended before the whole ticket arrived")
	} else {
		var t *ticket.Ticket
		if t, err = ticket.Decode(data); err == nil {
			return t, true
		}
	}
	link.WriteClientError(w, err)
	return nil, false
}

func (i *Instance) submitTicket(w http.ResponseWriter, r *http.Request) {
	t, ok := readTicket(w, r)
	if !ok {
		return
	}
	record, err := i.configuration.submit(r.Context(), t)
	if err != nil {
		i.options.Events.Log(event.TicketRefused, event.F("ticket", t.Number), event.F("code", int(result.CodeOf(err))))
		link.WriteClientError(w, err)
		return
	}
	i.options.Events.Log(event.TicketAccepted, event.F("ticket", t.Number), event.F("revision", uint64(record.Revision)))
	writeJSON(w, record)
}

func (i *Instance) checkTicket(w http.ResponseWriter, r *http.Request) {
	t, ok := readTicket(w, r)
	if !ok {
		return
	}
	record, err := i.configuration.Check(t)
	if err != nil {
		link.WriteClientError(w, err)
		return
	}
	writeJSON(w, record)
}

func (i *Instance) showTicket(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil {
		link.WriteClientError(w, result.Wrap(result.OperatorUsage, err, "the ticket number is not a number"))
		return
	}
	record, ok := i.configuration.Accepted(number)
	if !ok {
		link.WriteClientError(w, result.New(result.TicketNotFound, "ticket %d", number))
		return
	}
	writeJSON(w, record)
}

func (i *Instance) dumpState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, i.State())
}

// State returns a dump of the instance's state.
func (i *Instance) State() State {
	s := State{
		ID:                  i.id,
		Name:                i.options.Settings.Name,
		Domain:              i.options.Settings.Domain,
		Region:              i.options.Settings.Region,
		Ready:               i.isReady(),
		Stopping:            i.stopping.Load(),
		Revision:            i.configuration.revision.Load(),
		PlatformUnavailable: i.configuration.platformUnavailable.Load(),
		Membership:          i.members.Stats(),
		Links:               i.control.Stats(),
		Replication:         i.replicator.Stats(),
		Standing:            i.authority.state(i.configuration.roster.Load()),
		Shares:              i.shares.state(),
		Instances:           i.members.All(),
		Accounts:            make(map[string]AccountState),
		Homes:               i.idempotency.Stats(),
	}
	if view := i.configuration.view.Load(); view != nil {
		for name, a := range view.Accounts.Accounts() {
			s.Accounts[name] = AccountState{Rate: a.Rate, Burst: a.Burst}
		}
	}
	return s
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Revision returns the last revision in force at this instance.
func (i *Instance) Revision() uint64 { return i.configuration.revision.Load() }
