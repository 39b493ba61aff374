package sidecar

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"amaranthstile/backend/admission"
	"amaranthstile/entry"
	"amaranthstile/internal/httpserver"
)

// metrics are the metrics of one instance; docs/OPERATIONS.md lists them.
type metrics struct {
	*httpserver.RequestMetrics
	registry *prometheus.Registry
}

func newMetrics(i *Instance) *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	m.RequestMetrics = httpserver.NewRequestMetrics(m.registry)
	gauge := m.gauge
	httpserver.RegisterBudget(gauge, i.budget)
	m.registry.MustRegister(i.quotas.counters.refusals, i.quotas.counters.calls)
	c := i.configuration
	gauge("version", "Version of the configuration in force here.", func() float64 { return float64(c.version()) })
	gauge("instances", "Instances in the membership, this one included.", func() float64 {
		return float64(len(i.members.Directory().Records()))
	})
	gauge("store_away", "1 while the last call of the store failed.", func() float64 {
		return httpserver.BoolToFloat(c.storeUnavailable.Load())
	})
	gauge("store_reads_total", "Configurations read from the store.", func() float64 { return float64(c.reads.Load()) })
	gauge("store_overdue_reads_total", "Configurations read from the store because no recent reading was known.", count(&c.overdueReads))
	gauge("store_reading_age_seconds", "Seconds since the latest reading of the store that this instance knows of, by any instance.", func() float64 {
		return time.Since(c.readings.last()).Seconds()
	})
	gauge("store_waits_total", "Waits at the store for a configuration.", func() float64 { return float64(c.watches.Load()) })
	gauge("store_failed_total", "Calls of the store that failed.", func() float64 { return float64(c.failures.Load()) })
	gauge("store_older_total", "Responses of the store with an older configuration than the one in force here.", func() float64 {
		return float64(c.olderReads.Load())
	})
	gauge("configuration_confirmed_age_seconds", "Seconds since the store confirmed the configuration in force here.", func() float64 {
		return c.confirmationAge(time.Now()).Seconds()
	})
	gauge("backend_limit_per_second", "Requests a second that the backend server takes from all instances together, -1 without a limit.", func() float64 {
		return namedLimit(i.localBackend.statement.Load())
	})
	gauge("backend_cold_seconds", "How long the backend server stays cold, by its last report.", func() float64 {
		return i.localBackend.cold.Coldness(time.Now()).Remaining.Seconds()
	})
	gauge("backend_cold_probes_failed_total", "Health checks of the backend server without a response.", count(&i.localBackend.coldProbeFailures))
	m.registerEvacuations(i.evacuations)
	m.registerAdmission(i.localBackend.admissionStats)
	gauge("ready", "1 while requests are taken.", func() float64 { return httpserver.BoolToFloat(i.Ready()) })
	return m
}

// gauge adds a gauge whose value is read from a function at each scrape.
func (m *metrics) gauge(name, help string, read func() float64) {
	m.registry.MustRegister(httpserver.NewGauge(name, help, read))
}

// registerAdmission adds the counts of decisions at the gate of the backend server.
func (m *metrics) registerAdmission(stats func() admission.Stats) {
	for _, x := range []struct {
		name, help string
		read       func(admission.Stats) float64
	}{
		{"late_waits_total", "Requests that were let wait beyond their target for the backend server.", func(s admission.Stats) float64 { return float64(s.LateWaits) }},
		{"late_refusals_total", "Requests of late_waits_total that were refused.", func(s admission.Stats) float64 { return float64(s.LateRefusals) }},
		{"slots_kept_total", "Requests that got no free slot because it was kept for more urgent routes.", func(s admission.Stats) float64 { return float64(s.SlotsKept) }},
		{"retries_refused_total", "Retries that the retry budget of the backend server did not allow.", func(s admission.Stats) float64 { return float64(s.RetriesRefused) }},
		{"spare_slot_share", "Share of the slot time in the last seconds that requests which could meet their target left over.", func(s admission.Stats) float64 { return s.SpareShare }},
	} {
		m.gauge(x.name, x.help, func() float64 { return x.read(stats()) })
	}
}

// observeEntry adds the counters of the entry side.
func (m *metrics) observeEntry(h *entry.Handler) {
	m.gauge("late_paths_total", "Requests that waited for an instance whose path probe was late.", func() float64 {
		return float64(h.Stats().LatePaths)
	})
}

// registerEvacuations adds what this instance knows of evacuations, and its calls about them.
func (m *metrics) registerEvacuations(e *evacuations) {
	m.gauge("evacuated_domains", "Failure domains that are evacuated, as far as this instance knows.", func() float64 {
		return float64(len(*e.evacuated.Load()))
	})
	m.gauge("evacuation_refused_total", "Requests refused here because the failure domain is evacuated.", count(&e.refused))
	m.gauge("evacuation_reads_total", "Lists of evacuations read from the store.", count(&e.reads))
	m.gauge("evacuation_waits_total", "Waits at the store for changes of evacuations.", count(&e.watches))
	m.gauge("evacuation_store_failed_total", "Calls of the store about evacuations that failed.", count(&e.storeFailures))
	m.gauge("evacuation_exchanges_total", "Calls of other instances about evacuations.", count(&e.exchanges))
	m.gauge("evacuation_exchanges_failed_total", "Calls of other instances about evacuations that failed.", count(&e.exchangeFailures))
}

// count returns a function that reads a counter.
func count(n *atomic.Uint64) func() float64 {
	return func() float64 { return float64(n.Load()) }
}

// MetricsHandler serves the metrics.
func (i *Instance) MetricsHandler() http.Handler {
	return promhttp.HandlerFor(i.metrics.registry, promhttp.HandlerOpts{})
}

// checkFreshness returns an error while requests that carry a key must be refused because the configuration has not
// been confirmed within the bound that the platform sets.
func (i *Instance) checkFreshness() error {
	return i.configuration.checkFreshness(i.bounds(), time.Now())
}
