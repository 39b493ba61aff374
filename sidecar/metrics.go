package sidecar

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"amaranthstile/link"
)

const metricsNamespace = "amaranthstile"

// metrics are the numbers of one instance; docs/OPERATIONS.md lists them.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

func newMetrics(i *Instance) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace,
			Name:      "requests_total",
			Help:      "Requests by side (entry or exit), result code (0 for a backend server's answer) and statement on the run.",
		}, []string{"side", "code", "run"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metricsNamespace,
			Name:      "request_seconds",
			Help:      "Time from a request's arrival to the end of its answer, by side.",
			Buckets:   prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"side"}),
	}
	m.registry.MustRegister(m.requests, m.duration)
	gauge := func(name, help string, read func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help}, read))
	}
	c := i.configuration
	gauge("version", "Version of the configuration in force here.", func() float64 { return float64(c.version()) })
	gauge("instances", "Instances in the membership, this one included.", func() float64 { return float64(len(i.members.Directory().Records())) })
	gauge("store_away", "1 while the last call of the store failed.", func() float64 { return oneIf(c.away.Load()) })
	gauge("store_reads_total", "Configurations read from the store.", func() float64 { return float64(c.reads.Load()) })
	gauge("store_waits_total", "Waits at the store for a configuration.", func() float64 { return float64(c.waits.Load()) })
	gauge("store_failed_total", "Calls of the store that failed.", func() float64 { return float64(c.failed.Load()) })
	gauge("ready", "1 while requests are taken.", func() float64 { return oneIf(i.Ready()) })
	return m
}

func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// MetricsHandler serves the metrics.
func (i *Instance) MetricsHandler() http.Handler {
	return promhttp.HandlerFor(i.metrics.registry, promhttp.HandlerOpts{})
}

// codeLabel is the result code of an answer that the fleet made, and 0 for a backend server's.
func codeLabel(h http.Header) string {
	if code := h.Get(link.HeaderCode); code != "" {
		return code
	}
	return "0"
}

// count wraps the handler of one side so that its requests are counted and timed.
func (m *metrics) count(side string, next http.Handler) http.Handler {
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

// standing refuses requests that came with a key while the configuration was not confirmed for so long that the platform
// asks for it.
func (i *Instance) standing() error {
	return i.configuration.standing(i.options.Settings.Bounds, time.Now())
}
