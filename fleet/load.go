package fleet

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// callTimeout bounds one call of a load.
const callTimeout = 15 * time.Second

// Load sends requests of one caller at a steady pace, in turn to every running instance.
type Load struct {
	Fleet  *Fleet
	Client *Client
	CallLog *CallLog
	// Rate is in requests per second.
	Rate float64
	// Services are the path prefixes' services, taken in turn.
	Services []string
	// PostEvery is how often a request is one that may not be repeated: every so many; 0 for never.
	PostEvery int
}

// Run sends until ctx ends and waits for the last answers.
func (l *Load) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	pace := time.NewTicker(time.Duration(float64(time.Second) / l.Rate))
	defer pace.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-pace.C:
		}
		running.Go(func() { l.send(n) })
	}
}

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
