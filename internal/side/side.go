// Package side holds what the HTTP sides of every kind of instance share: their counters, their listeners and how they end
// connections at a planned stop.
package side

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthstile/event"
	"amaranthstile/link"
)

// Namespace begins the names of all metrics.
const Namespace = "amaranthstile"

// RequestMetrics counts and times the requests of the two sides.
type RequestMetrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

// NewRequestMetrics registers the counters.
func NewRequestMetrics(r prometheus.Registerer) *RequestMetrics {
	q := &RequestMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: Namespace,
			Name:      "requests_total",
			Help:      "Requests by side (entry or exit), result code (0 for a backend server's answer) and statement on the run.",
		}, []string{"side", "code", "run"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: Namespace,
			Name:      "request_seconds",
			Help:      "Time from a request's arrival to the end of its answer, by side.",
			Buckets:   prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"side"}),
	}
	r.MustRegister(q.requests, q.duration)
	return q
}

// Instrument wraps the handler of one side so that its requests are counted and timed.
func (q *RequestMetrics) Instrument(side string, next http.Handler) http.Handler {
	duration := q.duration.WithLabelValues(side)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		defer func() {
			duration.Observe(time.Since(start).Seconds())
			q.requests.WithLabelValues(side, codeLabel(w.Header()), w.Header().Get(link.HeaderRun)).Inc()
		}()
		next.ServeHTTP(w, r)
	})
}

// codeLabel is the result code of an answer that the fleet made, and 0 for a backend server's.
func codeLabel(h http.Header) string {
	if code := h.Get(link.HeaderCode); code != "" {
		if _, err := strconv.Atoi(code); err == nil {
			return code
		}
	}
	return "0"
}

// NewGauge returns a metric that is read when it is asked for.
func NewGauge(name, help string, read func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help}, read)
}

// BoolToFloat is 1 for true and 0 for false.
func BoolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// DisableKeepAliveWhile asks callers and entry sides to leave their connections with the next answer while stopping holds, so that few
// connections are idle when they are closed.
func DisableKeepAliveWhile(stopping func() bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

const (
	readHeaderTimeout = 10 * time.Second
	serverHeaderBytes = 64 << 10
)

// NewInternalServer returns the HTTP server of a listener that is not for callers.
func NewInternalServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       link.ServerIdleTimeout,
		MaxHeaderBytes:    serverHeaderBytes,
	}
}

// Serve serves a listener until the server is shut down.
func Serve(running *sync.WaitGroup, s *http.Server, l net.Listener, e *event.Logger) {
	s.ErrorLog = event.ServerErrorLog(e).Std("", 0)
	running.Go(func() {
		err := s.Serve(l)
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			e.Log(event.ServerFailed, event.F("error", err.Error()))
		}
	})
}

// ListenerSpec is a listener to open.
type ListenerSpec struct {
	Listener *net.Listener
	Address  netip.AddrPort
}

// OpenListeners opens all listeners, or none.
func OpenListeners(sockets ...ListenerSpec) error {
	for n, x := range sockets {
		l, err := net.Listen("tcp", x.Address.String())
		if err != nil {
			for _, y := range sockets[:n] {
				_ = (*y.Listener).Close()
			}
			return err
		}
		*x.Listener = l
	}
	return nil
}
