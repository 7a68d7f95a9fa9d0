package httpapi

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/backing/memory"
	"amaranthfork.example/fleet"
)

var ctx = context.Background()

// serve starts a server and returns its platform and the clients of two callers.
func serve(t *testing.T) (p *memory.Platform, a, b *Client) {
	t.Helper()
	p = memory.New(memory.Options{Runner: memory.CommandRunner})
	endpoints := NewEndpoints(EndpointOptions{Reachable: p.VMReachable, MaxConnections: 2})
	server := httptest.NewServer(NewServer(p, endpoints))
	client := func(name string) *Client {
		c := NewClient(ClientOptions{URL: server.URL, Caller: name, Timeout: 5 * time.Second})
		t.Cleanup(c.Close)
		return c
	}
	t.Cleanup(func() {
		server.Close()
		must(t, endpoints.Close())
	})
	return p, client("a"), client("b")
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestCallsAndErrors guards against calls whose arguments, results or errors change
// between client and server.
func TestCallsAndErrors(t *testing.T) {
	p, c, _ := serve(t)
	p.AddVM(fleet.VM{ID: "v", Slots: 1})
	lease, old := backing.Lease{Holder: "h", Epoch: 2}, backing.Lease{Holder: "h", Epoch: 1}
	put := func(key string, version uint64) backing.Txn {
		return backing.Txn{
			Conditions: []backing.Condition{{Key: key, Version: version}},
			Writes:     []backing.Write{{Key: key, Value: []byte{0, 255}}},
		}
	}
	task := func(id fleet.AttemptID, command string) backing.Task {
		return backing.Task{ID: id, Command: command, Payload: []byte("body")}
	}
	result := func(v any, err error) (string, error) { return fmt.Sprint(v), err }
	none := func(err error) (string, error) { return "", err }
	steps := []struct {
		name string
		call func() (string, error)
		want string
		err  error
	}{
		{"commit", func() (string, error) { return result(c.Table().Commit(ctx, put("k/1", 0))) }, "[1]", nil},
		{"conflict", func() (string, error) { return result(c.Table().Commit(ctx, put("k/1", 0))) }, "[]", backing.ErrConflict},
		{"second", func() (string, error) { return result(c.Table().Commit(ctx, put("k/2", 0))) }, "[1]", nil},
		{"get", func() (string, error) { return result(c.Table().Get(ctx, "k/1")) }, "{k/1 [0 255] 1}", nil},
		{"get absent", func() (string, error) { return result(c.Table().Get(ctx, "k/3")) }, "{k/3 [] 0}", nil},
		{"range", func() (string, error) { return result(c.Table().Range(ctx, "k/", "k/1", 5)) }, "[{k/2 [0 255] 1}]", nil},
		{"put object", func() (string, error) { return none(c.Objects().Put(ctx, "o", []byte("x"))) }, "", nil},
		{"get object", func() (string, error) { return result(c.Objects().Get(ctx, "o")) }, "[120]", nil},
		{"list objects", func() (string, error) { return result(c.Objects().List(ctx, "o")) }, "[o]", nil},
		{"delete object", func() (string, error) { return none(c.Objects().Delete(ctx, "o")) }, "", nil},
		{"no object", func() (string, error) { return result(c.Objects().Get(ctx, "o")) }, "[]", backing.ErrNotFound},
		{"no lease", func() (string, error) { return none(c.Workers().Start(ctx, "v", lease, task("1", ""))) }, "", backing.ErrFenced},
		{"acquire", func() (string, error) { return none(c.Workers().Acquire(ctx, "v", lease, time.Hour)) }, "", nil},
		{"old epoch", func() (string, error) { return none(c.Workers().Acquire(ctx, "v", old, time.Hour)) }, "", backing.ErrFenced},
		{"start", func() (string, error) { return none(c.Workers().Start(ctx, "v", lease, task("1", "x?time=0s"))) }, "", nil},
		{"tasks", func() (string, error) {
			list, err := c.Workers().Tasks(ctx, "v", lease)
			return fmt.Sprintf("%d %s %s", len(list), list[0].State, list[0].Body), err
		}, "1 completed body", nil},
		{"forget", func() (string, error) { return none(c.Workers().Forget(ctx, "v", lease, []fleet.AttemptID{"1"})) }, "", nil},
		{"start long", func() (string, error) { return none(c.Workers().Start(ctx, "v", lease, task("2", "x?time=1h"))) }, "", nil},
		{"no slot", func() (string, error) { return none(c.Workers().Start(ctx, "v", lease, task("3", ""))) }, "", backing.ErrRefused},
		{"throttle", func() (string, error) { return none(c.Workers().Throttle(ctx, "v", lease, "2", 5)) }, "", nil},
		{"checkpoint", func() (string, error) { return none(c.Workers().Checkpoint(ctx, "v", lease, "2")) }, "", nil},
		{"no task", func() (string, error) { return none(c.Workers().Stop(ctx, "v", lease, "9")) }, "", backing.ErrNotFound},
		{"states", func() (string, error) {
			list, err := c.Workers().Tasks(ctx, "v", lease)
			return fmt.Sprintf("%d %s", len(list), list[0].State), err
		}, "1 checkpointed", nil},
		{"drain", func() (string, error) { return none(c.VMs().Drain(ctx, "v")) }, "", nil},
		{"list VMs", func() (string, error) {
			listing, err := c.VMList().List(ctx)
			return string(listing.VMs[0].State), err
		}, "leaving", nil},
		{"release", func() (string, error) { return none(c.VMs().Release(ctx, "v")) }, "", nil},
		{"reboot", func() (string, error) { return none(c.VMs().Reboot(ctx, "v")) }, "", nil},
		{"rebooting", func() (string, error) { return none(c.Workers().Acquire(ctx, "v", lease, time.Hour)) }, "", backing.ErrUnavailable},
		{"no VM", func() (string, error) { return none(c.VMs().Drain(ctx, "w")) }, "", backing.ErrNotFound},
	}
	for _, step := range steps {
		got, err := step.call()
		if got != step.want || !errors.Is(err, step.err) {
			t.Fatalf("%s: got %q, %v; want %q, %v", step.name, got, err, step.want, step.err)
		}
	}
}

// TestBrokenAnswers guards against a write that may have taken effect but is
// reported as without effect, and against answers without an end.
func TestBrokenAnswers(t *testing.T) {
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	must(t, refused.Close())
	answers := map[string]http.HandlerFunc{
		"closed":     func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"not JSON":   func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "<html>") },
		"other code": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500); io.WriteString(w, "{}") },
		"redirect": func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/elsewhere" {
				io.WriteString(w, "{}")
				return
			}
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		},
		"truncated": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			io.WriteString(w, "{}")
		},
		"timeout": func(_ http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body); <-r.Context().Done() },
		"endless": func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				io.WriteString(w, strings.Repeat(" ", 1<<16))
			}
		},
	}
	check := func(name, url string, wantWrite error) {
		c := NewClient(ClientOptions{URL: url, Timeout: 300 * time.Millisecond})
		defer c.Close()
		if _, err := c.Table().Commit(ctx, backing.Txn{}); !errors.Is(err, wantWrite) {
			t.Errorf("%s: commit returned %v, want %v", name, err, wantWrite)
		}
		if err := c.Workers().Start(ctx, "v", backing.Lease{}, backing.Task{}); !errors.Is(err, wantWrite) {
			t.Errorf("%s: start returned %v, want %v", name, err, wantWrite)
		}
		if _, err := c.Table().Get(ctx, "k"); !errors.Is(err, backing.ErrUnavailable) {
			t.Errorf("%s: get returned %v, want ErrUnavailable", name, err)
		}
	}
	for name, handler := range answers {
		server := httptest.NewServer(handler)
		check(name, server.URL, backing.ErrUnconfirmed)
		server.Close()
	}
	if _, err := readAll(io.LimitReader(rand.Reader, MaxBodyBytes+2)); err == nil {
		t.Error("an answer over the limit was accepted")
	}
	check("connection refused", "http://"+refused.Addr().String(), backing.ErrUnavailable)
}

// TestSwitches guards against fault switches set over HTTP that apply to the wrong
// callers or services, or report the wrong error for the effect of a call.
func TestSwitches(t *testing.T) {
	_, a, b := serve(t)
	commit := func(c *Client, key string) error {
		_, err := c.Table().Commit(ctx, backing.Txn{Writes: []backing.Write{{Key: key}}})
		return err
	}
	version := func(key string) uint64 {
		row, err := b.Table().Get(ctx, key)
		must(t, err)
		return row.Version
	}
	on, off, one := true, false, 1
	admin := b.Admin()

	must(t, admin.SetFaults(ctx, FaultSettings{Service: ServiceTable, LoseAnswers: &one}))
	if err := commit(a, "lost"); !errors.Is(err, backing.ErrUnconfirmed) || version("lost") != 1 {
		t.Errorf("commit with a lost answer: %v, version %d; want ErrUnconfirmed and version 1", err, version("lost"))
	}

	must(t, admin.Partition(ctx, "a", true))
	short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	_, err := a.Table().Commit(short, backing.Txn{Writes: []backing.Write{{Key: "cut"}}})
	if !errors.Is(err, backing.ErrUnconfirmed) || !errors.Is(err, context.DeadlineExceeded) || version("cut") != 0 {
		t.Errorf("commit of a partitioned caller: %v, version %d; want ErrUnconfirmed, a timeout and no row", err, version("cut"))
	}
	must(t, admin.Partition(ctx, "a", false))
	must(t, commit(a, "cut"))

	must(t, admin.SetFaults(ctx, FaultSettings{Service: ServiceAll, Down: &on}))
	if err := commit(a, "down"); !errors.Is(err, backing.ErrUnavailable) {
		t.Errorf("commit in an outage: %v, want ErrUnavailable", err)
	}
	must(t, admin.SetFaults(ctx, FaultSettings{Service: ServiceAll, Down: &off}))

	must(t, admin.SetFaults(ctx, FaultSettings{Service: ServiceTable, Rate: &RateSettings{WritesPerSecond: 0.001}}))
	must(t, commit(a, "rate"))
	if err := commit(a, "rate"); !errors.Is(err, backing.ErrUnavailable) {
		t.Errorf("commit over the rate limit: %v, want ErrUnavailable", err)
	}
	if err := admin.SetFaults(ctx, FaultSettings{Service: "tabel"}); err == nil || !strings.Contains(err.Error(), "tabel") {
		t.Errorf("switch of an unknown service: %v, want an error that names it", err)
	}

	lag := Duration(time.Hour)
	vms, err := admin.AddVMs(ctx, []fleet.VM{{ID: "v"}}, []backing.EntryVM{{ID: "e"}})
	must(t, err)
	resp, err := http.Post("http://"+vms[0].Address+"/x", "text/plain", strings.NewReader("hello"))
	must(t, err)
	body, err := io.ReadAll(resp.Body)
	if string(body) != "hello" || resp.Header.Get("Amaranth-VM") != "v" {
		t.Errorf("endpoint answered %q, %v; want the request's body and the name of its VM", body, err)
	}
	gone := fleet.VMGone
	must(t, admin.SetVM(ctx, VMSettings{VM: "v", State: &gone}))
	if _, err := http.Post("http://"+vms[0].Address, "text/plain", nil); err == nil {
		t.Error("endpoint of a VM that is gone answered")
	}
	listing, err := a.VMList().List(ctx)
	if err != nil || listing.VMs[0].State != fleet.VMGone || len(listing.Entries) != 1 {
		t.Errorf("listing %+v, %v; want a VM that is gone and one entry VM", listing, err)
	}
	must(t, admin.SetList(ctx, ListSettings{Lag: &lag}))
}

// TestEndpointAnswers guards against wrong answers of an endpoint, with which other
// tests check the forwarding of requests.
func TestEndpointAnswers(t *testing.T) {
	endpoints := NewEndpoints(EndpointOptions{})
	defer endpoints.Close()
	address, err := endpoints.Open("v")
	must(t, err)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	tests := []struct {
		query  string
		status int
		length int64 // Content-Length of the answer; -1: none, -2: not checked
		body   string
		broken bool
	}{
		{"", 200, 4, "ping", false},
		{"bytes=3&delay=1ms", 200, 3, "xxx", false},
		{"bytes=0", 200, 0, "", false},
		{"status=503", 503, 4, "ping", false},
		{"chunked=1&bytes=20000", 200, -1, strings.Repeat("x", 20000), false},
		{"truncate=2", 200, 4, "pi", true},
		{"truncate=2&chunked=1", 200, -1, "pi", true},
		{"truncate=4&chunked=1", 200, -1, "ping", true},
		{"status=99", 400, -2, "", false},
		{"bytes=x", 400, -2, "", false},
	}
	for _, test := range tests {
		resp, err := client.Post("http://"+address+"?id=1&"+test.query, "text/plain", strings.NewReader("ping"))
		if err != nil {
			t.Errorf("%q: %v", test.query, err)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != test.status || (err != nil) != test.broken {
			t.Errorf("%q: status %d, %v", test.query, resp.StatusCode, err)
		}
		if test.length != -2 && (resp.ContentLength != test.length || string(body) != test.body) {
			t.Errorf("%q: length %d, body of %d bytes", test.query, resp.ContentLength, len(body))
		}
	}
	if _, err := client.Post("http://"+address+"?id=1&reset=1", "text/plain", nil); err == nil {
		t.Error("reset endpoint answered")
	}
	if n := endpoints.Arrivals("1"); n != len(tests)+1 {
		t.Errorf("%d arrivals, want %d", n, len(tests)+1)
	}
}

// TestEndpointConnections guards against connections over the limit that are
// accepted or not counted.
func TestEndpointConnections(t *testing.T) {
	endpoints := NewEndpoints(EndpointOptions{MaxConnections: 1})
	defer endpoints.Close()
	address, err := endpoints.Open("v")
	must(t, err)
	held, err := net.Dial("tcp", address)
	must(t, err)
	defer held.Close()
	_, err = http.Get("http://" + address)
	if stats := endpoints.Stats()["v"]; err == nil || stats.Refused == 0 || stats.PeakConnections != 1 {
		t.Errorf("connection over the limit: %v, %+v; want it refused and counted", err, stats)
	}
}
