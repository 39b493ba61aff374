package instance

import (
	"github.com/prometheus/client_golang/prometheus"

	"amaranthstile/backend"
	"amaranthstile/backend/health"
	"amaranthstile/internal/httpserver"
)

// backendMetrics returns the metrics of this instance's backend servers, their queues and the selection of endpoints.
func (i *Instance) backendMetrics() []prometheus.Collector {
	counter := func(name, help string, read func() uint64) prometheus.Collector {
		o := prometheus.CounterOpts{Namespace: httpserver.Namespace, Name: name, Help: help}
		return prometheus.NewCounterFunc(o, func() float64 { return float64(read()) })
	}
	gauge := func(name, help string, read func(backend.Load) int) prometheus.Collector {
		o := prometheus.GaugeOpts{Namespace: httpserver.Namespace, Name: name, Help: help}
		return prometheus.NewGaugeFunc(o, func() float64 { return float64(i.backends.sumLoad(read)) })
	}
	healthStats := i.backends.health.stats
	selectorStats := i.selector.Stats
	return []prometheus.Collector{
		counter("backend_failures_total", "Failed requests at the own backend servers.", func() uint64 { return healthStats().Failures }),
		counter("backend_ejections_total", "Ejections of own backend servers.", func() uint64 { return healthStats().Ejections }),
		counter("backend_returns_total", "Returns of own backend servers to use.", func() uint64 { return healthStats().Returns }),
		counter("backend_trials_failed_total", "Series of trial requests that failed.", func() uint64 { return healthStats().TrialsFailed }),
		counter("choices_local_total", "Endpoints chosen in the own failure domain.", func() uint64 { return selectorStats().Local }),
		counter("choices_remote_total", "Endpoints chosen in other failure domains.", func() uint64 { return selectorStats().Remote }),
		counter("choices_trials_total", "Trial requests to ejected endpoints.", func() uint64 { return selectorStats().Trials }),
		counter("choices_none_total", "Queries for which no endpoint was left.", func() uint64 { return selectorStats().NoEndpoint }),
		counter("links_out_total", "Times that a link of this instance went out of use.", func() uint64 { return selectorStats().LinksOut }),
		gauge("backend_running", "Requests at the own backend servers.", func(l backend.Load) int { return l.Running }),
		gauge("backend_waiting", "Requests that wait for a slot of the own backend servers.", func(l backend.Load) int { return l.Waiting }),
		gauge("backend_slots", "Slots of the own backend servers.", func(l backend.Load) int { return l.Slots }),
	}
}

// sumLoad adds up one figure of the load over this instance's backend servers.
func (b *backends) sumLoad(read func(backend.Load) int) int {
	n := 0
	for _, u := range b.currentUpstreams() {
		n += read(u.Gate.Load())
	}
	return n
}

func (m *healthMonitor) stats() health.Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.monitor.Stats()
}
