package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthstile/link"
	"amaranthstile/membership"
)

// benchClient sends requests of a client account and reads the responses.
type benchClient struct {
	transport *http.Transport
	url       string
}

func (b *benchClient) send() error {
	r, err := http.NewRequest("GET", b.url, nil)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := b.transport.RoundTrip(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return err
}

// newBenchClients returns a client whose requests pass an entry side and an exit side, and one that calls the same
// backend server directly.
func newBenchClients(b *testing.B) (through, direct *benchClient) {
	p := newPipeline(b, nil, ok)
	d := p.options.Directory()
	p.options.Directory = func() *membership.Directory { return d }
	p.listen(b)
	tr := link.NewTransport(64, time.Minute)
	through = &benchClient{tr, "http://" + p.address + "/keyed/roster?day=1"}
	direct = &benchClient{tr, "http://" + p.backends[0]["0"].Address.String() + "/keyed/roster?day=1"}
	return through, direct
}

// BenchmarkAddedLatency sends 264 requests per second through both sides and as many directly, alternating in one run.
func BenchmarkAddedLatency(b *testing.B) {
	const interval = time.Second / 264
	through, direct := newBenchClients(b)
	histograms := map[*benchClient]*hdrhistogram.Histogram{
		through: hdrhistogram.New(1, 10_000_000, 3),
		direct:  hdrhistogram.New(1, 10_000_000, 3),
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	tick := time.NewTicker(interval / 2)
	defer tick.Stop()
	for n := range 2 * b.N {
		to := []*benchClient{through, direct}[n%2]
		<-tick.C
		all.Go(func() {
			start := time.Now()
			err := to.send()
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				b.Error(err)
			}
			_ = histograms[to].RecordValue(time.Since(start).Microseconds())
		})
	}
	all.Wait()
	for _, q := range []float64{50, 99} {
		added := histograms[through].ValueAtQuantile(q) - histograms[direct].ValueAtQuantile(q)
		b.ReportMetric(float64(histograms[direct].ValueAtQuantile(q)), fmt.Sprintf("direct-p%.0f-us", q))
		b.ReportMetric(float64(added), fmt.Sprintf("added-p%.0f-us", q))
	}
}

// BenchmarkThroughput sends as many requests as the machine can handle. Clients, both sides and the backend server
// share one process, so the allocations are those of all of them.
func BenchmarkThroughput(b *testing.B) {
	through, direct := newBenchClients(b)
	for name, to := range map[string]*benchClient{"direct": direct, "through": through} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := to.send(); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}
