// Command amaranth-standin runs a small stand-in for the users' platform or for a backend server, for trials and tests.
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
	listen := flags.String("listen", "127.0.0.1:7900", "address `IP:PORT` to listen on")
	_ = flags.Parse(args)
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	fmt.Println("platform stand-in listening on", l.Addr())
	return serve(l, standin.New(store.NewMemory()))
}

func runBackend(args []string) error {
	flags := flag.NewFlagSet("backend", flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:0", "address `IP:PORT` to listen on")
	slot := flags.String("slot", "", "address `IP:PORT` of the instance for backend servers")
	var o backendstandin.Options
	flags.StringVar(&o.ID, "id", "backend-1", "ID of the backend server")
	flags.StringVar(&o.Service, "service", "", "service that the backend server provides")
	flags.IntVar(&o.Slots, "slots", 3, "maximum number of concurrent requests")
	flags.DurationVar(&o.ServiceTime, "service-time", 10*time.Millisecond, "duration of a request")
	flags.DurationVar(&o.ColdStart, "cold-start", 0, "time after the start during which requests take ten times as long")
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
	fmt.Println("backend stand-in listening on", address)
	server := &http.Server{Handler: backendstandin.New(o), ReadHeaderTimeout: readHeaderTimeout}
	go announceUntilSignal(server, backendstandin.NewAnnouncer(slotAddress, o.Announcement(address)))
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// announceUntilSignal announces the backend server and renews its lease until SIGTERM or SIGINT. Then it drains the
// backend server, waits for the requests in flight and deregisters.
func announceUntilSignal(server *http.Server, a *backendstandin.Announcer) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	a.Run(ctx)
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	_ = a.Drain(drainCtx)
	time.Sleep(drainDelay)
	_ = server.Shutdown(drainCtx)
	_ = a.Leave(drainCtx)
}

const (
	readHeaderTimeout = 10 * time.Second
	// drainDelay is how long requests that were sent before the drain may still arrive.
	drainDelay = 2 * time.Second
	// drainTimeout bounds the drain, the requests in flight and the deregistration together.
	drainTimeout = 30 * time.Second
)

func serve(l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	return s.Serve(l)
}
