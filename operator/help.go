package operator

import (
	"flag"
	"fmt"
	"io"
)

var commands = []command{
	{name: "ticket submit", args: "FILE", minArgs: 1, maxArgs: 1, run: submitTicket, summary: "record a change ticket", help: `Submits the ticket in FILE. While the outcome is unknown, because an answer was lost, it submits the same
ticket again, for -patience; that is harmless, since a ticket number takes effect only once.

A ticket is JSON with a number and the complete new state of every object that it changes; null removes an object:

    {"number": 12,
     "services": {"roster": {"floor": 0.5}},
     "routes":   {"roster": {"prefix": "/roster", "service": "roster"}, "old": null},
     "accounts": {"sector-norte": {"rate": 20, "burst": 40, "keys": ["HASH"]}}}

Exit status 0: accepted, now or before. 3: refused, nothing changed. 4: unknown; submit it again unchanged.
5: nothing changed, try again later.`},
	{name: "ticket check", args: "FILE", minArgs: 1, maxArgs: 1, run: checkTicket, summary: "check a change ticket against the state in force", help: `Reports whether the ticket in FILE would be accepted now. Nothing is changed. Another ticket may be accepted first.`},
	{name: "ticket show", args: "N", minArgs: 1, maxArgs: 1, run: showTicket, summary: "show the record of an accepted ticket", help: `Shows the revision and the digest of the accepted ticket with number N. Only the records of recent tickets are kept;
the exit status is 3 if there is no record of N.`},
	{name: "state", run: showState, summary: "show an instance's state", help: `Shows the instance, the configuration in force there, and the instances that it knows. -json prints the whole dump.`},
	{name: "backends", args: "[SERVICE]", maxArgs: 1, run: listBackends, summary: "list backend servers", help: `Lists the backend servers that the instance knows: service, state, slots, and the instance that each is attached to.`},
	{name: "accounts", args: "[PREFIX]", maxArgs: 1, run: listAccounts, summary: "list client accounts", help: `Lists the client accounts in force whose names start with PREFIX: rate, burst, weight, number of keys, and the ticket
that set each.`},
	{name: "key new", run: newKey, summary: "generate a key", help: `Generates a key and prints it with its hash. It is not stored. The key goes to the client account's caller; only the hash goes
into a ticket, under accounts.NAME.keys, or into the settings, under operatorKeys.`},
}

func writeUsage(w io.Writer, flags *flag.FlagSet) {
	_, _ = fmt.Fprint(w, "usage: amaranthctl [flags] COMMAND\n\ncommands:\n")
	for _, c := range commands {
		_, _ = fmt.Fprintf(w, "  %-22s %s\n", c.name+" "+c.args, c.summary)
	}
	_, _ = fmt.Fprint(w, "  help [COMMAND]         explain a command\n\nflags:\n")
	flags.SetOutput(w)
	flags.PrintDefaults()
	_, _ = fmt.Fprint(w, "\nexit status: 0 done, 1 failed, 2 invalid command line, 3 refused, 4 ticket's outcome unknown, 5 try again later\n")
}

// help explains one command, or lists all commands if name is empty.
func (s *session) help(flags *flag.FlagSet, name string) int {
	if name == "" {
		writeUsage(s.env.Out, flags)
		return StatusDone
	}
	for _, c := range commands {
		if c.name == name {
			_, _ = fmt.Fprintf(s.env.Out, "amaranthctl %s %s: %s\n\n%s\n", c.name, c.args, c.summary, c.help)
			return StatusDone
		}
	}
	_, _ = fmt.Fprintf(s.env.Err, "amaranthctl: no command %q\n", name)
	return StatusUsage
}
