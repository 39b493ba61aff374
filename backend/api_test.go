package backend_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/backend"
	"amaranthstile/link"
	"amaranthstile/membership"
)

var anyAddress = netip.MustParseAddrPort("127.0.0.1:80")

// registryAPI makes a Registry a backend.Registrar at a time that the test sets.
type registryAPI struct {
	*backend.Registry
	now time.Time
}

func (r *registryAPI) Announce(a backend.Announcement) (backend.Lease, error) {
	return r.Registry.Announce(r.now, a)
}

func (r *registryAPI) Renew(lease string, s membership.EndpointState) (backend.Lease, error) {
	return r.Registry.Renew(r.now, lease, s)
}

// TestRegistrationCalls checks the registration calls; each step is a call and the expected response.
func TestRegistrationCalls(t *testing.T) {
	const announce = `{"id":"b1","service":"roster","address":"127.0.0.1:80","slots":3%s}`
	plain := fmt.Sprintf(announce, "")
	otherAddress := strings.Replace(plain, ":80", ":81", 1)
	type step struct {
		after time.Duration
		path  string
		body  string
		want  string // status and result code
		state string // of the endpoint after the call, "" if there is none
	}
	for name, steps := range map[string][]step{
		"announce, renew, drain, leave": {
			{0, backend.PathAnnounce, plain, "200 ", "active"},
			{0, backend.PathRenew, `{"lease":"l1"}`, "200 ", "active"},
			{0, backend.PathDrain, `{"lease":"l1"}`, "200 ", "draining"},
			{0, backend.PathRenew, `{"lease":"l1","state":"active"}`, "200 ", "draining"},
			{0, backend.PathDrain, `{"lease":"l1"}`, "200 ", "draining"},
			{0, backend.PathLeave, `{"lease":"l1"}`, "200 ", ""},
			{0, backend.PathLeave, `{"lease":"l1"}`, "404 5011", ""},
		},
		"a repeated announcement gives a new lease": {
			{0, backend.PathAnnounce, plain, "200 ", "active"},
			{0, backend.PathAnnounce, plain, "200 ", "active"},
			{0, backend.PathRenew, `{"lease":"l1"}`, "404 5011", "active"},
			{0, backend.PathRenew, `{"lease":"l2"}`, "200 ", "active"},
		},
		"a late announcement does not undo a drain": {
			{0, backend.PathAnnounce, plain, "200 ", "active"},
			{0, backend.PathDrain, `{"lease":"l1"}`, "200 ", "draining"},
			{0, backend.PathAnnounce, plain, "409 5013", "draining"},
			{backend.LeaseDuration + 1, backend.PathAnnounce, plain, "200 ", "active"},
		},
		"one ID at two addresses": {
			{0, backend.PathAnnounce, plain, "200 ", "active"},
			{0, backend.PathAnnounce, otherAddress, "409 5014", "active"},
			{backend.LeaseDuration + 1, backend.PathAnnounce, otherAddress, "200 ", "active"},
		},
		"an expired lease": {
			{0, backend.PathAnnounce, plain, "200 ", "active"},
			{backend.LeaseDuration + 1, backend.PathRenew, `{"lease":"l1"}`, "404 5011", ""},
			{0, backend.PathAnnounce, plain, "200 ", "active"},
		},
		"warming ends when the server reports active": {
			{0, backend.PathAnnounce, fmt.Sprintf(announce, `,"state":"warming"`), "200 ", "warming"},
			{2 * time.Second, backend.PathRenew, `{"lease":"l1","state":"warming"}`, "200 ", "warming"},
			{0, backend.PathRenew, `{"lease":"l1","state":"active"}`, "200 ", "active"},
		},
		"invalid input": {
			{0, backend.PathAnnounce, `{`, "400 5010", ""},
			{0, backend.PathAnnounce, `{"unknown":1}`, "400 5010", ""},
			{0, backend.PathAnnounce, strings.Replace(plain, "b1", "", 1), "400 5010", ""},
			{0, backend.PathAnnounce, strings.Replace(plain, "roster", strings.Repeat("r", 129), 1), "400 5010", ""},
			{0, backend.PathAnnounce, strings.Replace(plain, "127.0.0.1:80", "localhost:80", 1), "400 5010", ""},
			{0, backend.PathAnnounce, strings.Replace(plain, ":80", ":0", 1), "400 5010", ""},
			{0, backend.PathAnnounce, strings.Replace(plain, "3", "0", 1), "400 5010", ""},
			{0, backend.PathAnnounce, fmt.Sprintf(announce, `,"state":"ejected"`), "400 5010", ""},
			{0, backend.PathAnnounce, plain + strings.Repeat(" ", 17<<10) + "{}", "400 5010", ""},
			{0, backend.PathRenew, `{"lease":"l1","state":"ejected"}`, "400 5010", ""},
			{0, backend.PathRenew, `{"lease":""}`, "404 5011", ""},
			{0, backend.PathDrain, `{}`, "404 5011", ""},
			{0, backend.PathLeave, `[]`, "400 5010", ""},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			leases := 0
			r := &registryAPI{
				now:      time.Unix(0, 0),
				Registry: backend.NewRegistry(func() string { leases++; return fmt.Sprint("l", leases) }), // l1, l2 and so on
			}
			api := backend.NewAPI(r)
			for _, s := range steps {
				r.now = r.now.Add(s.after)
				r.Expire(r.now)
				w := httptest.NewRecorder()
				api.ServeHTTP(w, httptest.NewRequest(http.MethodPost, s.path, strings.NewReader(s.body)))
				is.Equal(fmt.Sprint(w.Code, " ", w.Header().Get(link.HeaderCode)), s.want)
				state := ""
				for _, e := range r.Endpoints() {
					state = string(e.State)
				}
				is.Equal(state, s.state)
			}
		})
	}
}

// TestWarmingEnds checks that a backend server stops warming after MaxWarmingTime whatever it reports.
func TestWarmingEnds(t *testing.T) {
	is := is.New(t)
	r := backend.NewRegistry(func() string { return "l" })
	now := time.Unix(0, 0)
	a := backend.Announcement{ID: "b1", Service: "roster", Address: anyAddress, Slots: 1, State: membership.Warming}
	_, err := r.Announce(now, a)
	is.NoErr(err)
	is.True(!r.EndWarming(now.Add(backend.MaxWarmingTime - 1)))
	is.True(r.EndWarming(now.Add(backend.MaxWarmingTime)))
	_, err = r.Renew(now.Add(backend.MaxWarmingTime), "l", membership.Warming)
	is.NoErr(err)
	is.Equal(r.Endpoints()[0].State, membership.Active)
}

// TestUpstreamsKeepTheirQueue checks that a drain and a change of the number of slots interrupt no running request, and
// that the running requests still count against the new number of slots.
func TestUpstreamsKeepTheirQueue(t *testing.T) {
	is := is.New(t)
	server := func(slots int, state membership.EndpointState) []backend.Server {
		return []backend.Server{{Announcement: backend.Announcement{
			ID: "b1", Service: "s", Address: anyAddress, Slots: slots, State: state,
		}}}
	}
	transport := func() *http.Transport { return &http.Transport{} }
	first := backend.UpstreamSet{}.WithServers(server(2, membership.Active), transport)
	release, err := first["b1"].Gate.Acquire(t.Context(), backend.SlotRequest{})
	is.NoErr(err)
	second := first.WithServers(server(1, membership.Draining), transport)
	is.Equal(second["b1"].Gate.Load(), backend.Load{Running: 1, Slots: 1})
	is.True(!second["b1"].TakesWork())
	is.True(second["b1"].Transport == first["b1"].Transport)
	release()
	is.Equal(second["b1"].Gate.Load(), backend.Load{Slots: 1})
}
