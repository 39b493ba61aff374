package instance

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"amaranthstile/internal/httpserver"
	"amaranthstile/membership"
)

// metrics are the metrics of one instance; docs/OPERATORS.md lists them.
type metrics struct {
	*httpserver.RequestMetrics
	registry *prometheus.Registry
}

func newMetrics(i *Instance) *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	m.RequestMetrics = httpserver.NewRequestMetrics(m.registry)
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.registry.MustRegister(i.gauges()...)
	m.registry.MustRegister(i.backendMetrics()...)
	httpserver.RegisterBudget(func(name, help string, read func() float64) {
		m.registry.MustRegister(httpserver.NewGauge(name, help, read))
	}, i.budget)
	m.registry.MustRegister(newStatsCollector(i))
	return m
}

// gauges returns gauges that read the instance's state at each collection.
func (i *Instance) gauges() []prometheus.Collector {
	return []prometheus.Collector{
		httpserver.NewGauge("revision", "Last revision in force here.", func() float64 { return float64(i.configuration.revision.Load()) }),
		httpserver.NewGauge("platform_away", "1 while the last call to the platform failed.", func() float64 { return httpserver.BoolToFloat(i.configuration.platformUnavailable.Load()) }),
		httpserver.NewGauge("ready", "1 while requests are taken.", func() float64 { return httpserver.BoolToFloat(i.Serving()) }),
		httpserver.NewGauge("instances", "Instances in the membership, this one included.", func() float64 { return float64(len(i.members.Directory().Records())) }),
		httpserver.NewGauge("endpoints_ejected", "Endpoints in this instance's view that are out of use.", func() float64 { return float64(countState(i.members.Directory(), membership.Ejected)) }),
		httpserver.NewGauge("endpoints_draining", "Endpoints in this instance's view that drain.", func() float64 { return float64(countState(i.members.Directory(), membership.Draining)) }),
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

// handler serves the metrics over HTTP.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
