package operator

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"amaranthstile/result"
	"amaranthstile/ticket"
)

// The exit statuses of the command line.
const (
	StatusDone = 0
	// StatusFailed means that the program or the instance failed.
	StatusFailed = 1
	// StatusUsage means that the command line is invalid.
	StatusUsage = 2
	// StatusRefused means that the instance refused the call; the same call is refused again.
	StatusRefused = 3
	// StatusUnknown means that a ticket may have been accepted and should be submitted again unchanged.
	StatusUnknown = 4
	// StatusRetryLater means that nothing was changed and that the same call may succeed later.
	StatusRetryLater = 5
)

const (
	keyBytes            = 24
	defaultAddress      = "127.0.0.1:7001"
	defaultMaxRetryWait = 30 * time.Second
)

// Env is the environment of a command.
type Env struct {
	Out, Err io.Writer
	// Sleep waits between attempts; the default is time.Sleep.
	Sleep func(time.Duration)
}

// session is one run of a command with its flags.
type session struct {
	env    Env
	client Client
	json   bool
}

// command is one command of the command line.
type command struct {
	name    string // one or two words
	args    string
	summary string
	help    string
	// minArgs and maxArgs bound the number of arguments.
	minArgs, maxArgs int
	run              func(ctx context.Context, s *session, args []string) error
}

// Run runs one command line, given without the program's name, and returns the exit status.
func Run(ctx context.Context, env Env, args []string) int {
	s := &session{env: env}
	flags := flag.NewFlagSet("amaranthctl", flag.ContinueOnError)
	flags.SetOutput(env.Err)
	flags.Usage = func() { writeUsage(env.Err, flags) }
	flags.StringVar(&s.client.Address, "instance", defaultAddress, "administration address `IP:PORT` of any instance")
	keyFile := flags.String("key-file", "", "`FILE` that holds the operator's key")
	flags.BoolVar(&s.json, "json", false, "print JSON")
	flags.DurationVar(&s.client.MaxRetryWait, "patience", defaultMaxRetryWait, "how long \"ticket submit\" retries while the outcome is unknown")
	if err := flags.Parse(args); err != nil {
		return StatusUsage
	}
	if err := s.readKey(*keyFile); err != nil {
		return s.fail(err)
	}
	s.client.Sleep = env.Sleep
	args = flags.Args()
	if len(args) > 0 && args[0] == "help" {
		return s.help(flags, strings.Join(args[1:], " "))
	}
	c, rest := findCommand(args)
	if c == nil || len(rest) < c.minArgs || len(rest) > c.maxArgs {
		flags.Usage()
		return StatusUsage
	}
	if err := c.run(ctx, s, rest); err != nil {
		return s.fail(err)
	}
	return StatusDone
}

func (s *session) readKey(file string) error {
	if file == "" {
		return nil
	}
	key, err := os.ReadFile(file)
	if err != nil {
		return result.Wrap(result.OperatorUsage, err, "key file: %v", err)
	}
	s.client.Key = strings.TrimSpace(string(key))
	return nil
}

// findCommand returns the command that the first one or two words name, and its arguments. The command is nil if
// there is none.
func findCommand(args []string) (*command, []string) {
	for n := min(len(args), 2); n > 0; n-- {
		for i := range commands {
			if commands[i].name == strings.Join(args[:n], " ") {
				return &commands[i], args[n:]
			}
		}
	}
	return nil, nil
}

// fail prints an error with its result code and the name of the code, and returns the exit status.
func (s *session) fail(err error) int {
	code := result.CodeOf(err)
	text := result.MessageOf(err)
	if code == result.Internal {
		text = err.Error()
	}
	_, _ = fmt.Fprintf(s.env.Err, "amaranthctl: %d %s: %s\n", code, code, text)
	switch {
	case code == result.Internal:
		return StatusFailed
	case code == result.OperatorUsage:
		return StatusUsage
	case code == result.TicketOutcomeUnknown:
		return StatusUnknown
	case isTransient(err):
		return StatusRetryLater
	}
	return StatusRefused
}

func readFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, result.Wrap(result.OperatorUsage, err, "%v", err)
	}
	return data, nil
}

func submitTicket(ctx context.Context, s *session, args []string) error {
	data, err := readFile(args[0])
	if err != nil {
		return err
	}
	r, err := s.client.Submit(ctx, data)
	if err != nil {
		return err
	}
	return s.printRecord(r)
}

func checkTicket(ctx context.Context, s *session, args []string) error {
	data, err := readFile(args[0])
	if err != nil {
		return err
	}
	r, err := s.client.Check(ctx, data)
	if err != nil {
		return err
	}
	return s.printCheck(r)
}

func showTicket(ctx context.Context, s *session, args []string) error {
	number, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return result.Wrap(result.OperatorUsage, err, "%q is not a ticket number", args[0])
	}
	r, err := s.client.Show(ctx, number)
	if err != nil {
		return err
	}
	return s.printRecord(r)
}

func showState(ctx context.Context, s *session, _ []string) error {
	state, err := s.client.State(ctx)
	if err != nil {
		return err
	}
	return s.printState(state)
}

func listBackends(ctx context.Context, s *session, args []string) error {
	rows, err := s.client.Backends(ctx, strings.Join(args, ""))
	if err != nil {
		return err
	}
	return s.printBackends(rows)
}

func listAccounts(ctx context.Context, s *session, args []string) error {
	rows, err := s.client.Accounts(ctx, strings.Join(args, ""))
	if err != nil {
		return err
	}
	return s.printAccounts(rows)
}

// newKey generates a key and prints it; it is stored nowhere.
func newKey(_ context.Context, s *session, _ []string) error {
	b := make([]byte, keyBytes)
	_, _ = rand.Read(b)
	key := base64.RawURLEncoding.EncodeToString(b)
	return s.printKey(key, ticket.HashKey(key))
}
