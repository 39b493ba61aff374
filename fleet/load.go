package fleet

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// callTimeout is the deadline of one call.
const callTimeout = 15 * time.Second

// Load sends requests of one client at a constant rate, to the running instances in rotation.
type Load struct {
	Fleet   *Fleet
	Client  *Client
	CallLog *CallLog
	// Rate is in requests per second.
	Rate float64
	// Services are the services that the requests go to, in rotation. Each service's route has its name as the prefix.
	Services []string
	// PostEvery makes every PostEvery-th request a POST, which must not be repeated. 0 means GET requests only.
	PostEvery int
}

// Run sends requests until ctx ends and then waits for the outstanding responses.
func (l *Load) Run(ctx context.Context) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / l.Rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		inFlight.Go(func() { l.send(n) })
	}
}

// send sends the n-th request and records the call. It does nothing if no instance is running.
func (l *Load) send(n int) {
	targets := l.Fleet.Running()
	if len(targets) == 0 {
		return
	}
	method := http.MethodGet
	if l.PostEvery > 0 && n%l.PostEvery == l.PostEvery-1 {
		method = http.MethodPost
	}
	path := "/" + l.Services[n%len(l.Services)] + "/turn"
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	to := targets[n%len(targets)].Addresses().Clients.AddrPort
	l.CallLog.Add(l.Client.Send(ctx, to, method, path))
}
