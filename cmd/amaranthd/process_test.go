package main_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthstile/internal/freeport"
	"amaranthstile/settings"
	"amaranthstile/ticket"
)

// drainMillis is longer than any test may take, so that a planned stop ends only when no request is in flight or after a
// second signal.
const drainMillis = 600_000

const operatorKey = "operator-key-of-the-process-test"

// buildPrograms builds the programs into a temporary directory and returns it.
func buildPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir, "amaranthstile/cmd/...").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return dir
}

// startProgram starts a program, which is killed at the end of the test.
func startProgram(t *testing.T, program string, args ...string) *exec.Cmd {
	t.Helper()
	c := exec.Command(program, args...)
	c.Stderr = os.Stderr
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
	return c
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) settings.Address {
	t.Helper()
	return settings.Address{AddrPort: freeport.Address(t)}
}

// writeSettings writes the settings of an instance to a file and returns the settings and the path of the file.
func writeSettings(t *testing.T, domain string, platform settings.Address) (settings.Settings, string) {
	t.Helper()
	s := settings.Settings{
		Domain: domain, Region: "litoral", Platform: "http://" + platform.String(),
		Listen: settings.ListenAddresses{
			Clients: freeAddress(t), Admin: freeAddress(t), Backends: freeAddress(t), Link: freeAddress(t), Control: freeAddress(t),
		},
		OperatorKeys: []ticket.Hash{ticket.HashKey(operatorKey)},
		DrainMillis:  drainMillis,
	}
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return s, file
}

// eventually polls f until it returns true. The test fails if ctx ends first.
func eventually(ctx context.Context, t *testing.T, condition string, f func() bool) {
	t.Helper()
	for !f() {
		select {
		case <-ctx.Done():
			t.Fatalf("%s: not within the test's time", condition)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// get returns the status and body of a response, or zero values if the request fails.
func get(url string) (int, string) {
	resp, err := http.Get(url)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// TestSeparateProcessesServeAndStopGracefully sends a request through two instances to a backend server, and checks that
// an instance that is stopped meanwhile completes the request.
func TestSeparateProcessesServeAndStopGracefully(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	dir := buildPrograms(t)
	platform := freeAddress(t)
	startProgram(t, filepath.Join(dir, "amaranth-standin"), "platform", "-listen", platform.String())
	norte, norteFile := writeSettings(t, "norte", platform)
	sur, surFile := writeSettings(t, "sur", platform)
	startProgram(t, filepath.Join(dir, "amaranthd"), "-settings", norteFile)
	stopping := startProgram(t, filepath.Join(dir, "amaranthd"), "-settings", surFile)
	for _, s := range []settings.Settings{norte, sur} {
		eventually(ctx, t, "ready", func() bool { status, _ := get("http://" + s.Listen.Admin.String() + "/ready"); return status == 200 })
	}
	startProgram(t, filepath.Join(dir, "amaranth-standin"), "backend", "-slot", norte.Listen.Backends.String(),
		"-service", "roster", "-id", "b1", "-service-time", "1s")
	eventually(ctx, t, "ticket", func() bool { return submitTicket(t, dir, norte, openRouteTicket) })
	url := "http://" + sur.Listen.Clients.String() + "/roster/turn"
	eventually(ctx, t, "served over two hops", func() bool { status, body := get(url); return status == 200 && strings.HasPrefix(body, "roster b1") })

	answered := make(chan int, 1)
	go func() {
		status, _ := get(url)
		answered <- status
	}()
	time.Sleep(200 * time.Millisecond) // the request is in flight when the planned stop begins
	is.NoErr(stopping.Process.Signal(syscall.SIGTERM))
	is.Equal(<-answered, 200) // the request in flight is completed
	is.NoErr(stopping.Wait()) // and the process exits with status 0
	status, _ := get(url)
	is.Equal(status, 0) // the instance no longer listens
}

// TestSecondSignalEndsDrainAtOnce stops an instance and its backend server while a request hangs at the backend server.
// The second signal must end the instance's drain at once.
func TestSecondSignalEndsDrainAtOnce(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	dir := buildPrograms(t)
	platform := freeAddress(t)
	startProgram(t, filepath.Join(dir, "amaranth-standin"), "platform", "-listen", platform.String())
	s, file := writeSettings(t, "norte", platform)
	instance := startProgram(t, filepath.Join(dir, "amaranthd"), "-settings", file)
	listen := freeAddress(t).String()
	backend := startProgram(t, filepath.Join(dir, "amaranth-standin"), "backend", "-slot", s.Listen.Backends.String(),
		"-service", "roster", "-listen", listen)
	eventually(ctx, t, "ticket", func() bool { return submitTicket(t, dir, s, openRouteTicket) })
	url := "http://" + s.Listen.Clients.String() + "/roster/turn"
	eventually(ctx, t, "served", func() bool { status, _ := get(url); return status == 200 })
	resp, err := http.Post("http://"+listen+"/standin/faults", "application/json", strings.NewReader(`{"hang":true}`))
	is.NoErr(err)
	_ = resp.Body.Close()
	go get(url)
	eventually(ctx, t, "hanging", func() bool {
		_, counts := get("http://" + listen + "/standin/counts")
		return strings.Contains(counts, `"requests":2`)
	})
	is.NoErr(instance.Process.Signal(syscall.SIGTERM))
	is.NoErr(instance.Process.Signal(syscall.SIGINT))
	var exit *exec.ExitError
	is.True(errors.As(instance.Wait(), &exit)) // long before drainMillis
	is.Equal(exit.ExitCode(), 1)               // the stop interrupted a request
	is.NoErr(backend.Process.Signal(syscall.SIGTERM))
	is.NoErr(backend.Wait()) // the stand-in drains and exits by itself
}

const openRouteTicket = `{"number":1,"services":{"roster":{"floor":0.5}},"routes":{"roster":{"prefix":"/roster","service":"roster","open":true}}}`

// submitTicket submits a ticket with amaranthctl and reports whether it was accepted.
func submitTicket(t *testing.T, dir string, s settings.Settings, text string) bool {
	t.Helper()
	folder := t.TempDir()
	keyFile := filepath.Join(folder, "key")
	ticketFile := filepath.Join(folder, "ticket.json")
	for name, data := range map[string]string{keyFile: operatorKey + "\n", ticketFile: text} {
		if err := os.WriteFile(name, []byte(data), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	c := exec.Command(filepath.Join(dir, "amaranthctl"), "-instance", s.Listen.Admin.String(), "-key-file", keyFile,
		"ticket", "submit", ticketFile)
	out, err := c.CombinedOutput()
	if err != nil {
		t.Logf("ticket submit: %v\n%s", err, out)
	}
	return err == nil
}

func TestInvalidSettingsAreRejectedWithCodeAndReason(t *testing.T) {
	is := is.New(t)
	dir := buildPrograms(t)
	file := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(file, []byte(`{"domain":"norte","region":"litoral","listen":{"callers":"example:80"}}`), 0o600))
	for _, args := range [][]string{{"-settings", file}, {"-check", "-settings", file}} {
		out, err := exec.Command(filepath.Join(dir, "amaranthd"), args...).CombinedOutput()
		is.True(err != nil)
		is.True(strings.Contains(string(out), fmt.Sprint(1003))) // settings-bad-address
		is.True(strings.Contains(string(out), "example:80"))
	}
}

// TestResumedInstanceRejectsRevokedKey suspends an instance's process for longer than any authority lease or rate
// lease, revokes a key meanwhile, and sends a request with that key while the process is still suspended, so that it is
// the first request that the resumed process reads. The process must not serve it on the leases from before the pause.
func TestResumedInstanceRejectsRevokedKey(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	dir := buildPrograms(t)
	platform := freeAddress(t)
	startProgram(t, filepath.Join(dir, "amaranth-standin"), "platform", "-listen", platform.String())
	var instances []settings.Settings
	var processes []*exec.Cmd
	for _, domain := range []string{"norte", "sur", "este"} {
		s, file := writeSettings(t, domain, platform)
		instances = append(instances, s)
		processes = append(processes, startProgram(t, filepath.Join(dir, "amaranthd"), "-settings", file))
	}
	startProgram(t, filepath.Join(dir, "amaranth-standin"), "backend", "-slot", instances[0].Listen.Backends.String(),
		"-service", "roster", "-id", "b1")
	const key = "the-key-of-a-paused-test"
	hash, _ := ticket.HashKey(key).MarshalText()
	first := `{"number":1,"services":{"roster":{"floor":0.5}},"routes":{"roster":{"prefix":"/roster","service":"roster"}},` +
		`"accounts":{"regantes":{"rate":100,"burst":100,"keys":["` + string(hash) + `"]}}}`
	eventually(ctx, t, "ticket 1", func() bool { return submitTicket(t, dir, instances[0], first) })
	paused := 2
	url := "http://" + instances[paused].Listen.Clients.String() + "/roster/turn"
	eventually(ctx, t, "served with the key", func() bool { return getWithKey(url, key) == 200 })

	is.NoErr(processes[paused].Process.Signal(syscall.SIGSTOP))
	eventually(ctx, t, "ticket 2", func() bool {
		return submitTicket(t, dir, instances[0], `{"number":2,"accounts":{"regantes":{"rate":100,"burst":100}}}`)
	})
	time.Sleep(pauseDuration)
	answered := make(chan int, 1)
	go func() {
		answered <- getWithKey(url, key)
	}()
	time.Sleep(200 * time.Millisecond) // the request waits in the socket of the suspended process
	is.NoErr(processes[paused].Process.Signal(syscall.SIGCONT))
	is.Equal(<-answered, http.StatusUnauthorized) // rejected as soon as the instance has the new revision; never run
}

// pauseDuration is longer than an authority lease and a lease of a rate share.
const pauseDuration = 6 * time.Second

// getWithKey returns the status of a request with a client account's key, or 0 if the request fails.
func getWithKey(url, key string) int {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
