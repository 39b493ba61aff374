package instance

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"amaranthstile/link"
	"amaranthstile/membership"
)

const metricsNamespace = "amaranthstile"

// metrics are the numbers of one instance; docs/OPERATORS.md lists them.
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
			Buckets:   prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"side"}),
	}
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.registry.MustRegister(m.requests, m.duration)
	m.registry.MustRegister(i.gauges()...)
	m.registry.MustRegister(i.backendMetrics()...)
	m.registry.MustRegister(newStatsCollector(i))
	return m
}

// gauges read the instance's state when they are asked.
func (i *Instance) gauges() []prometheus.Collector {
	gauge := func(name, help string, read func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help}, read)
	}
	return []prometheus.Collector{
		gauge("revision", "Last revision in force here.", func() float64 { return float64(i.configuration.revision.Load()) }),
		gauge("platform_away", "1 while the last call to the platform failed.", func() float64 { return oneIf(i.configuration.away.Load()) }),
		gauge("ready", "1 while requests are taken.", func() float64 { return oneIf(i.Serving()) }),
		gauge("instances", "Instances in the membership, this one included.", func() float64 { return float64(len(i.members.Directory().Records())) }),
		gauge("endpoints_ejected", "Endpoints in this instance's view that are out of use.", func() float64 { return float64(countState(i.members.Directory(), membership.Ejected)) }),
		gauge("endpoints_draining", "Endpoints in this instance's view that drain.", func() float64 { return float64(countState(i.members.Directory(), membership.Draining)) }),
	}
}

func countState(d *membership.Directory, state membership.EndpointState) int {
	n := 0
	for _, r := range d.Records() {
		for _, e := range r.Endpoints {
			if e.State == state {
				n++
			}
		}
	}
	return n
}

func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// handler serves the metrics.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
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

// codeLabel is the result code of an answer that the fleet made, and 0 for a backend server's.
func codeLabel(h http.Header) string {
	if code := h.Get(link.HeaderCode); code != "" {
		if _, err := strconv.Atoi(code); err == nil {
			return code
		}
	}
	return "0"
}
