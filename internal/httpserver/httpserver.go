// Package httpserver contains what the HTTP servers of all kinds of instances share: request metrics, listeners, and
// how connections are closed during a planned shutdown. The two sides of an instance are the entry side, which accepts
// the requests of clients, and the exit side, which passes requests to a backend server.
package httpserver

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

// Namespace is the prefix of the names of all metrics.
const Namespace = "amaranthstile"

// RequestMetrics counts and times the requests of the entry side and the exit side.
type RequestMetrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

// NewRequestMetrics returns request metrics that are registered in r.
func NewRequestMetrics(r prometheus.Registerer) *RequestMetrics {
	m := &RequestMetrics{
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
	r.MustRegister(m.requests, m.duration)
	return m
}

// Instrument wraps the handler of one side so that its requests are counted and timed.
func (m *RequestMetrics) Instrument(side string, next http.Handler) http.Handler {
	duration := m.duration.WithLabelValues(side)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		defer func() {
			duration.Observe(time.Since(start).Seconds())
			m.requests.WithLabelValues(side, codeLabel(w.Header()), w.Header().Get(link.HeaderRun)).Inc()
		}()
		next.ServeHTTP(w, r)
	})
}

// codeLabel returns the result code of a response that the fleet made, or 0 for a response of a backend server.
func codeLabel(h http.Header) string {
	if code := h.Get(link.HeaderCode); code != "" {
		if _, err := strconv.Atoi(code); err == nil {
			return code
		}
	}
	return "0"
}

// NewGauge returns a gauge whose value is read from a function at each scrape.
func NewGauge(name, help string, read func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: Namespace, Name: name, Help: help}, read)
}

// BoolToFloat returns 1 for true and 0 for false.
func BoolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// DisableKeepAliveWhile makes each response ask the client or entry side to close its connection while stopping
// returns true. Few connections are then idle when the server closes them.
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
	maxHeaderBytes    = 64 << 10
)

// NewInternalServer returns an HTTP server for a listener that does not serve clients.
func NewInternalServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       link.ServerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Serve serves a listener in a goroutine of wg until the server is shut down.
func Serve(wg *sync.WaitGroup, s *http.Server, l net.Listener, e *event.Logger) {
	s.ErrorLog = event.ServerErrorLog(e).Std("", 0)
	wg.Go(func() {
		err := s.Serve(l)
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			e.Log(event.ServerFailed, event.F("error", err.Error()))
		}
	})
}

// ListenerSpec states the address of a listener to open and where to store the listener.
type ListenerSpec struct {
	Listener *net.Listener
	Address  netip.AddrPort
}

// OpenListeners opens all listeners, or none if one of them fails.
func OpenListeners(specs ...ListenerSpec) error {
	for n, spec := range specs {
		l, err := net.Listen("tcp", spec.Address.String())
		if err != nil {
			for _, opened := range specs[:n] {
				_ = (*opened.Listener).Close()
			}
			return err
		}
		*spec.Listener = l
	}
	return nil
}
