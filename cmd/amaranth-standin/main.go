// Command amaranth-standin runs small stand-ins for trying and testing: the users' platform and a backend server.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	backendstandin "amaranthstile/backend/standin"
	"amaranthstile/store"
	"amaranthstile/store/standin"
)

const usage = `usage: amaranth-standin platform [-listen IP:PORT]
       amaranth-standin backend -slot IP:PORT -service NAME [-id ID] [-listen IP:PORT] [-slots N] [-service-time D] [-cold-start D]
`

func main() {
	if len(os.Args) < 2 {
		fmt.Fprint(os.Stderr, usage)
		os.Exit(2)
	}
	var err error
	switch os.Args[1] {
	case "platform":
		err = runPlatform(os.Args[2:])
	case "backend":
		err = runBackend(os.Args[2:])
	default:
		fmt.Fprint(os.Stderr, usage)
		os.Exit(2)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "amaranth-standin:", err)
		os.Exit(1)
	}
}

func runPlatform(args []string) error {
	flags := flag.NewFlagSet("platform", flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:7900", "address `IP:PORT`")
	_ = flags.Parse(args)
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	fmt.Println("platform stand-in listens on", l.Addr())
	return serve(l, standin.New(store.NewMemory()))
}

func runBackend(args []string) error {
	flags := flag.NewFlagSet("backend", flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:0", "address `IP:PORT`")
	slot := flags.String("slot", "", "slot address `IP:PORT` of the instance")
	var o backendstandin.Options
	flags.StringVar(&o.ID, "id", "backend-1", "the backend server's own name")
	flags.StringVar(&o.Service, "service", "", "service that it serves")
	flags.IntVar(&o.Slots, "slots", 3, "requests at once")
	flags.DurationVar(&o.ServiceTime, "service-time", 10*time.Millisecond, "time that a request takes")
	flags.DurationVar(&o.ColdStart, "cold-start", 0, "time after the start in which requests take ten times as long")
	_ = flags.Parse(args)
	slotAddress, err := netip.ParseAddrPort(*slot)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	address := l.Addr().(*net.TCPAddr).AddrPort()
	fmt.Println("backend stand-in listens on", address)
	server := &http.Server{Handler: backendstandin.New(o), ReadHeaderTimeout: readHeaderTimeout}
	go leaveOnSignal(server, backendstandin.NewAnnouncer(slotAddress, o.Announcement(address)))
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// leaveOnSignal announces the backend server until SIGTERM or SIGINT; then it drains, finishes what runs and leaves.
func leaveOnSignal(server *http.Server, a *backendstandin.Announcer) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	a.Run(ctx)
	end, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	_ = a.Drain(end)
	time.Sleep(drainNotice)
	_ = server.Shutdown(end)
	_ = a.Leave(end)
}

const (
	readHeaderTimeout = 10 * time.Second
	// drainNotice is how long after the drain requests may still come that were on their way.
	drainNotice = 2 * time.Second
	drainLimit  = 30 * time.Second
)

func serve(l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	return s.Serve(l)
}
