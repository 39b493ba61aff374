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

// drainMillis is longer than any test may take: a planned stop ends because nothing runs, or because it is hastened.
const drainMillis = 600_000

const operatorKey = "operator-key-of-the-process-test"

// programs builds the programs into a folder of the test.
func programs(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir, "amaranthstile/cmd/...").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return dir
}

// start runs a program until the end of the test.
func start(t *testing.T, program string, args ...string) *exec.Cmd {
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

// writeSettings writes the settings of an instance and returns them with their file's name.
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

// eventually repeats f until it holds or the time of the test's context is over.
func eventually(ctx context.Context, t *testing.T, what string, f func() bool) {
	t.Helper()
	for !f() {
		select {
		case <-ctx.Done():
			t.Fatalf("%s: not within the test's time", what)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func get(url string) (int, string) {
	resp, err := http.Get(url)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

func TestSeparateProcessesServeAndStopGracefully(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	dir := programs(t)
	platform := freeAddress(t)
	start(t, filepath.Join(dir, "amaranth-standin"), "platform", "-listen", platform.String())
	norte, norteFile := writeSettings(t, "norte", platform)
	sur, surFile := writeSettings(t, "sur", platform)
	start(t, filepath.Join(dir, "amaranthd"), "-settings", norteFile)
	leaving := start(t, filepath.Join(dir, "amaranthd"), "-settings", surFile)
	for _, s := range []settings.Settings{norte, sur} {
		eventually(ctx, t, "ready", func() bool { status, _ := get("http://" + s.Listen.Admin.String() + "/ready"); return status == 200 })
	}
	start(t, filepath.Join(dir, "amaranth-standin"), "backend", "-slot", norte.Listen.Backends.String(), "-service", "roster",
		"-id", "b1", "-service-time", "1s")
	eventually(ctx, t, "ticket", func() bool { return trySubmit(t, dir, norte, openRoute) })
	url := "http://" + sur.Listen.Clients.String() + "/roster/turn"
	eventually(ctx, t, "served over two hops", func() bool { status, body := get(url); return status == 200 && strings.HasPrefix(body, "roster b1") })

	answered := make(chan int, 1)
	go func() {
		status, _ := get(url)
		answered <- status
	}()
	time.Sleep(200 * time.Millisecond) // the request is on its way when the planned stop begins
	is.NoErr(leaving.Process.Signal(syscall.SIGTERM))
	is.Equal(<-answered, 200) // the running request is finished
	is.NoErr(leaving.Wait())  // and the stop ends well
	status, _ := get(url)
	is.Equal(status, 0) // nothing listens any more
}

// TestSecondSignalHastensTheStop stops an instance, and lets a backend server drain, while a request hangs there.
func TestSecondSignalHastensTheStop(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	dir := programs(t)
	platform := freeAddress(t)
	start(t, filepath.Join(dir, "amaranth-standin"), "platform", "-listen", platform.String())
	s, file := writeSettings(t, "norte", platform)
	instance := start(t, filepath.Join(dir, "amaranthd"), "-settings", file)
	listen := freeAddress(t).String()
	backend := start(t, filepath.Join(dir, "amaranth-standin"), "backend", "-slot", s.Listen.Backends.String(), "-service", "roster", "-listen", listen)
	eventually(ctx, t, "ticket", func() bool { return trySubmit(t, dir, s, openRoute) })
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
	is.Equal(exit.ExitCode(), 1)               // the stop cut a request
	is.NoErr(backend.Process.Signal(syscall.SIGTERM))
	is.NoErr(backend.Wait()) // the stand-in drains and ends by itself
}

const openRoute = `{"number":1,"services":{"roster":{"floor":0.5}},"routes":{"roster":{"prefix":"/roster","service":"roster","open":true}}}`

// trySubmit submits a ticket with the operators' program and reports whether it was accepted.
func trySubmit(t *testing.T, dir string, s settings.Settings, text string) bool {
	t.Helper()
	folder := t.TempDir()
	keyFile := filepath.Join(folder, "key")
	ticketFile := filepath.Join(folder, "ticket.json")
	for name, data := range map[string]string{keyFile: operatorKey + "\n", ticketFile: text} {
		if err := os.WriteFile(name, []byte(data), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	c := exec.Command(filepath.Join(dir, "amaranthctl"), "-instance", s.Listen.Admin.String(), "-key-file", keyFile, "ticket", "submit", ticketFile)
	out, err := c.CombinedOutput()
	if err != nil {
		t.Logf("ticket submit: %v\n%s", err, out)
	}
	return err == nil
}

func TestBadSettingsAreRefusedWithNumberFieldAndReason(t *testing.T) {
	is := is.New(t)
	dir := programs(t)
	file := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(file, []byte(`{"domain":"norte","region":"litoral","listen":{"callers":"example:80"}}`), 0o600))
	for _, args := range [][]string{{"-settings", file}, {"-check", "-settings", file}} {
		out, err := exec.Command(filepath.Join(dir, "amaranthd"), args...).CombinedOutput()
		is.True(err != nil)
		is.True(strings.Contains(string(out), fmt.Sprint(1003))) // settings-bad-address
		is.True(strings.Contains(string(out), "example:80"))
	}
}

// TestPausedInstanceWakesWithoutAWithdrawnKey stops an instance's process for longer than any credit or lease, withdraws
// a key meanwhile, and sends a request with it while the process still sleeps: it is the first that is read on waking.
func TestPausedInstanceWakesWithoutAWithdrawnKey(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	dir := programs(t)
	platform := freeAddress(t)
	start(t, filepath.Join(dir, "amaranth-standin"), "platform", "-listen", platform.String())
	var all []settings.Settings
	var processes []*exec.Cmd
	for _, domain := range []string{"norte", "sur", "este"} {
		s, file := writeSettings(t, domain, platform)
		all = append(all, s)
		processes = append(processes, start(t, filepath.Join(dir, "amaranthd"), "-settings", file))
	}
	start(t, filepath.Join(dir, "amaranth-standin"), "backend", "-slot", all[0].Listen.Backends.String(), "-service", "roster", "-id", "b1")
	const key = "the-key-of-a-paused-test"
	hash, _ := ticket.HashKey(key).MarshalText()
	first := `{"number":1,"services":{"roster":{"floor":0.5}},"routes":{"roster":{"prefix":"/roster","service":"roster"}},` +
		`"accounts":{"regantes":{"rate":100,"burst":100,"keys":["` + string(hash) + `"]}}}`
	eventually(ctx, t, "ticket 1", func() bool { return trySubmit(t, dir, all[0], first) })
	paused := 2
	url := "http://" + all[paused].Listen.Clients.String() + "/roster/turn"
	eventually(ctx, t, "served with the key", func() bool { return getWith(url, key) == 200 })

	is.NoErr(processes[paused].Process.Signal(syscall.SIGSTOP))
	eventually(ctx, t, "ticket 2", func() bool {
		return trySubmit(t, dir, all[0], `{"number":2,"accounts":{"regantes":{"rate":100,"burst":100}}}`)
	})
	time.Sleep(pausedFor)
	answered := make(chan int, 1)
	go func() {
		answered <- getWith(url, key)
	}()
	time.Sleep(200 * time.Millisecond) // the request lies in the sleeping process's socket
	is.NoErr(processes[paused].Process.Signal(syscall.SIGCONT))
	is.Equal(<-answered, http.StatusUnauthorized) // refused once the instance knows; never run
}

// pausedFor is longer than a credit of standing and a lease of a rate.
const pausedFor = 6 * time.Second

func getWith(url, key string) int {
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
