package instance

import (
	"reflect"
	"strings"
	"unicode"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthstile/internal/httpserver"
)

// statsCollector turns the statistics of the parts of an instance into metrics: one metric named PART_FIELD for each
// number or boolean in them. The metrics are untyped, since some of them are counters and others are gauges.
type statsCollector struct {
	parts map[string]func() any
}

func newStatsCollector(i *Instance) statsCollector {
	return statsCollector{parts: map[string]func() any{
		"membership": func() any { return i.members.Stats() },
		"links":      func() any { return i.control.Stats() },
		"control":    func() any { return i.traffic.Stats() },
		"spread":     func() any { return i.replicator.Stats() },
		"standing":   func() any { return i.authority.state(i.configuration.roster.Load()) },
		"shares":     func() any { return i.shares.state() },
		"entry":      func() any { return i.entry.Stats() },
	}}
}

// Describe implements prometheus.Collector. It describes no metrics in advance, which makes the collector an
// unchecked one.
func (c statsCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c statsCollector) Collect(out chan<- prometheus.Metric) {
	for part, read := range c.parts {
		collectStruct(out, part, reflect.ValueOf(read()))
	}
}

// collectStruct emits the numbers and booleans of a struct and of the structs that it contains.
func collectStruct(out chan<- prometheus.Metric, name string, v reflect.Value) {
	for n := range v.NumField() {
		field := name + "_" + snakeCase(v.Type().Field(n).Name)
		x := v.Field(n)
		switch {
		case x.Kind() == reflect.Struct:
			collectStruct(out, field, x)
		case x.CanInt():
			emit(out, field, float64(x.Int()))
		case x.CanUint():
			emit(out, field, float64(x.Uint()))
		case x.Kind() == reflect.Bool:
			emit(out, field, httpserver.BoolToFloat(x.Bool()))
		}
	}
}

func emit(out chan<- prometheus.Metric, name string, value float64) {
	d := prometheus.NewDesc(prometheus.BuildFQName(httpserver.Namespace, "", name), "See docs/OPERATORS.md.", nil, nil)
	out <- prometheus.MustNewConstMetric(d, prometheus.UntypedValue, value)
}

// snakeCase converts the name of a Go field to snake case.
func snakeCase(name string) string {
	var b strings.Builder
	for n, r := range name {
		if unicode.IsUpper(r) && n > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
