package instance

import (
	"cmp"
	"net/http"
	"slices"
	"strings"

	"amaranthstile/membership"
)

// BackendRow is a backend server in a listing for operators.
type BackendRow struct {
	membership.Endpoint
	// Instance is the instance whose slot the backend server occupies, with its name and failure domain.
	Instance membership.ID `json:"instance"`
	Name     string        `json:"name"`
	Domain   string        `json:"domain"`
}

// AccountRow is a client account in a listing for operators. It contains no key.
type AccountRow struct {
	Name   string  `json:"name"`
	Rate   float64 `json:"rate"`
	Burst  int     `json:"burst"`
	Weight int     `json:"weight"`
	// Keys is the number of keys of the account.
	Keys int `json:"keys"`
	// Ticket is the number of the ticket that last set the account.
	Ticket uint64 `json:"ticket"`
}

// listBackends responds with the backend servers that this instance knows, restricted to one service if the query
// names it.
func (i *Instance) listBackends(w http.ResponseWriter, r *http.Request) {
	service := r.URL.Query().Get("service")
	rows := []BackendRow{}
	for _, m := range i.State().Instances {
		for _, e := range m.Endpoints {
			if service == "" || e.Service == service {
				rows = append(rows, BackendRow{Endpoint: e, Instance: m.ID, Name: m.Name, Domain: m.Domain})
			}
		}
	}
	slices.SortFunc(rows, func(a, b BackendRow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Backend, b.Backend), cmp.Compare(a.Instance, b.Instance))
	})
	writeJSON(w, rows)
}

// listAccounts responds with the client accounts in force whose names start with the prefix in the query.
func (i *Instance) listAccounts(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	rows := []AccountRow{}
	for name, o := range i.configuration.Copy().Accounts() {
		if a := o.Value; strings.HasPrefix(name, prefix) {
			rows = append(rows, AccountRow{Name: name, Rate: a.Rate, Burst: a.Burst, Weight: max(a.Weight, 1), Keys: len(a.Keys), Ticket: o.Number})
		}
	}
	slices.SortFunc(rows, func(a, b AccountRow) int { return cmp.Compare(a.Name, b.Name) })
	writeJSON(w, rows)
}
