package operator

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"amaranthstile/instance"
	"amaranthstile/ticket"
)

// tablePadding is the number of spaces between columns.
const tablePadding = 2

// table prints rows of tab-separated cells as aligned columns.
func (s *session) table(fill func(row func(format string, args ...any))) error {
	w := tabwriter.NewWriter(s.env.Out, 0, 0, tablePadding, ' ', 0)
	fill(func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) })
	return w.Flush()
}

func (s *session) printJSON(v any) error {
	e := json.NewEncoder(s.env.Out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func (s *session) printRecord(r ticket.Record) error {
	if s.json {
		return s.printJSON(r)
	}
	return s.table(func(row func(string, ...any)) {
		row("ticket\t%d", r.Number)
		row("revision\t%d", r.Revision)
		row("digest\t%s", hex.EncodeToString(r.Digest[:]))
	})
}

func (s *session) printCheck(r ticket.Record) error {
	if s.json {
		return s.printJSON(r)
	}
	if r.Revision != 0 {
		_, err := fmt.Fprintf(s.env.Out, "ticket %d was accepted at revision %d\n", r.Number, r.Revision)
		return err
	}
	_, err := fmt.Fprintln(s.env.Out, "the ticket may be accepted")
	return err
}

func (s *session) printState(x instance.State) error {
	if s.json {
		return s.printJSON(x)
	}
	return s.table(func(row func(string, ...any)) {
		row("instance\t%s (%s)", x.ID, x.Name)
		row("failure domain\t%s, region %s", x.Domain, x.Region)
		row("ready\t%t", x.Ready)
		row("stopping\t%t", x.Stopping)
		row("revision\t%d", x.Revision)
		row("platform away\t%t", x.PlatformUnavailable)
		row("client accounts\t%d", len(x.Accounts))
		row("instances\t%d", len(x.Instances))
		row("")
		row("INSTANCE\tNAME\tDOMAIN\tREGION\tENDPOINTS\tLEAVING")
		for _, r := range x.Instances {
			row("%s\t%s\t%s\t%s\t%d\t%t", r.ID, r.Name, r.Domain, r.Region, len(r.Endpoints), r.Leaving)
		}
	})
}

func (s *session) printBackends(rows []instance.BackendRow) error {
	if s.json {
		return s.printJSON(rows)
	}
	return s.table(func(row func(string, ...any)) {
		row("SERVICE\tBACKEND SERVER\tSTATE\tSLOTS\tINSTANCE\tDOMAIN")
		for _, r := range rows {
			row("%s\t%s\t%s\t%d\t%s\t%s", r.Service, r.Backend, r.State, r.Slots, r.Instance, r.Domain)
		}
	})
}

func (s *session) printAccounts(rows []instance.AccountRow) error {
	if s.json {
		return s.printJSON(rows)
	}
	return s.table(func(row func(string, ...any)) {
		row("CLIENT ACCOUNT\tRATE\tBURST\tWEIGHT\tKEYS\tTICKET")
		for _, r := range rows {
			row("%s\t%g\t%d\t%d\t%d\t%d", r.Name, r.Rate, r.Burst, r.Weight, r.Keys, r.Ticket)
		}
	})
}

// newKeyReply is the JSON output of "key new".
type newKeyReply struct {
	Key  string      `json:"key"`
	Hash ticket.Hash `json:"hash"`
}

func (s *session) printKey(key string, hash ticket.Hash) error {
	if s.json {
		return s.printJSON(newKeyReply{Key: key, Hash: hash})
	}
	return s.table(func(row func(string, ...any)) {
		row("key\t%s", key)
		row("hash\t%s", hex.EncodeToString(hash[:]))
	})
}
