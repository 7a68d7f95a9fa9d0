package session_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/backing/memory"
	"amaranthfork.example/client"
	"amaranthfork.example/entry/local"
	"amaranthfork.example/fleet"
)

const (
	operatorToken = "operator-of-the-test"
	freezeTime    = 12 * time.Second // two session TTLs
)

// process is a daemon that the test has started.
type process struct {
	cmd  *exec.Cmd
	over chan error
	mu   sync.Mutex
	log  []string
}

// logged waits for a log line with an event and returns the value of a field.
func (w *world) logged(p *process, event, field string) string {
	w.t.Helper()
	var value string
	w.eventually(patience, "event "+event, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, line := range p.log {
			if strings.Contains(line, "="+event+" ") {
				_, rest, found := strings.Cut(line, " "+field+"=")
				value, _, _ = strings.Cut(rest, " ")
				return found
			}
		}
		return false
	})
	return value
}

// spawn starts a daemon and collects its log.
func (w *world) spawn(name string, args ...string) *process {
	w.t.Helper()
	p := &process{cmd: exec.Command(name, args...), over: make(chan error, 1)}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		w.t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	go func() {
		lines := bufio.NewScanner(stdout)
		for lines.Scan() {
			p.mu.Lock()
			p.log = append(p.log, lines.Text())
			p.mu.Unlock()
		}
		p.over <- p.cmd.Wait()
	}()
	w.t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // has ended already if the session went well
		if w.t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			w.t.Logf("%s: last lines of its log:\n%s", filepath.Base(name), strings.Join(p.log[max(0, len(p.log)-15):], "\n"))
		}
	})
	return p
}

func (w *world) signal(p *process, s os.Signal) {
	w.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		w.t.Fatal(err)
	}
}

// ended waits for the end of a process and returns its error.
func (w *world) ended(p *process) error {
	w.t.Helper()
	select {
	case err := <-p.over:
		return err
	case <-time.After(patience):
		w.t.Fatal("the process does not end")
		return nil
	}
}

// fleetFile describes the workers of the sample folder and n entries for each
// data centre.
func fleetFile(t *testing.T, dir string, n int) (file string, entries []backing.EntryVM) {
	t.Helper()
	var vms []fleet.VM
	for i := range 8 {
		id := fleet.VMID(fmt.Sprintf("w-%02d", i+1))
		dc := dataCentreOf(id)
		vms = append(vms, fleet.VM{ID: id, DataCentre: dc, Rack: fleet.RackName(dc + "-rack"), Slots: 8,
			Capacity: fleet.Resources{MilliCPU: 16_000, MemoryMB: 64 << 10}})
	}
	for i := range 2 * n {
		dc := fleet.DataCentreName("dc-a")
		if i%2 == 1 {
			dc = "dc-b"
		}
		entries = append(entries, backing.EntryVM{ID: fmt.Sprintf("entry-%d", i+1), DataCentre: dc, State: fleet.VMLive})
	}
	content, err := json.Marshal(map[string]any{"vms": vms, "entries": entries})
	if err != nil {
		t.Fatal(err)
	}
	file = filepath.Join(dir, "fleet.json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return file, entries
}

// ctl runs amaranthctl and returns its output.
func (w *world) ctl(program, folder string, args ...string) []byte {
	w.t.Helper()
	cmd := exec.CommandContext(w.ctx, program, args...)
	cmd.Env = append(os.Environ(), "AMARANTH_SERVER="+w.live()[0].URL, "AMARANTH_TOKEN="+operatorToken, "AMARANTH_FOLDER="+folder)
	out, err := cmd.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		w.t.Fatalf("amaranthctl %s: %v\n%s", strings.Join(args, " "), err, exit.Stderr)
	}
	if err != nil {
		w.t.Fatal(err)
	}
	return out
}

// remoteStarts reads the starts of all steps from the platform.
func (w *world) remoteStarts(url string, b batch) (most, started int) {
	w.t.Helper()
	response, err := http.Get(url + "/admin/starts")
	if err != nil {
		w.t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		w.t.Fatal(err)
	}
	var list []memory.StepStarts
	if err := json.Unmarshal(content, &list); err != nil {
		w.t.Fatal(err)
	}
	own := map[fleet.JobID]bool{}
	for _, job := range b.jobs {
		own[job.ID] = true
	}
	for _, s := range list {
		if own[s.Job] {
			most = max(most, s.Starts)
			started++
		}
	}
	return most, started
}

// without runs fn while callers are not sent to an entry.
func (w *world) without(e *local.Entry, fn func()) {
	w.mu.Lock()
	w.gone[e] = true
	w.mu.Unlock()
	fn()
	w.mu.Lock()
	delete(w.gone, e)
	w.mu.Unlock()
}

// Guards the daemons as operators run them: a process that acts after a pause
// on a session that was fenced meanwhile, work lost with a killed process, a
// planned stop that fails, and a folder that amaranthctl does not bring in force.
func TestSeparateProcesses(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		"amaranthfork.example/cmd/amaranth-platform", "amaranthfork.example/cmd/amaranthd", "amaranthfork.example/cmd/amaranthctl")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	w := &world{t: t, ctx: t.Context(), fleet: &local.Fleet{Token: operatorToken}, keys: map[fleet.TeamName]string{}, teams: map[fleet.JobID]fleet.TeamName{}, gone: map[*local.Entry]bool{}}
	file, entries := fleetFile(t, dir, 2)
	stand := w.spawn(filepath.Join(dir, "amaranth-platform"), "--listen", "127.0.0.1:0", "--fleet", file)
	url := "http://" + w.logged(stand, "serving", "address")
	var daemons []*process
	for _, e := range entries {
		d := w.spawn(filepath.Join(dir, "amaranthd"), "--data-centre", string(e.DataCentre), "--vm", e.ID,
			"--api-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0", "--platform-url", url,
			"--peer-secret", "secret-of-the-test", "--operator-token", operatorToken, "--drain-delay", "1s")
		daemons = append(daemons, d)
		w.fleet.Entries = append(w.fleet.Entries, &local.Entry{VM: e.ID, DataCentre: e.DataCentre, URL: "http://" + w.logged(d, "listening", "api")})
	}
	w.eventually(patience, "all entries are members", func() bool {
		for _, e := range w.live() {
			if status, err := w.operator(e).Status(w.ctx); err != nil || len(status.Members) != len(entries) {
				return false
			}
		}
		return true
	})

	folder := filepath.Join(dir, "folder")
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	for name, content := range local.SampleFolder() {
		if err := os.WriteFile(filepath.Join(folder, name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	ctl := filepath.Join(dir, "amaranthctl")
	var applied client.Applied
	if err := json.Unmarshal(w.ctl(ctl, folder, "apply", "-o", "json"), &applied); err != nil {
		t.Fatal(err)
	}
	w.say("amaranthctl apply: revision %d", applied.Revision)
	for _, team := range []fleet.TeamName{"booking", "supply"} {
		var granted struct {
			Key      string         `json:"key"`
			Revision fleet.Revision `json:"revision"`
		}
		if err := json.Unmarshal(w.ctl(ctl, folder, "key", "new", string(team), "-o", "json"), &granted); err != nil {
			t.Fatal(err)
		}
		w.keys[team] = granted.Key
		w.say("amaranthctl key new %s: revision %d", team, granted.Revision)
	}
	w.waitReady(len(entries))

	idempotent, once := w.mixed("frozen", 16, "draw?time=2s")
	frozen := w.live()[0]
	w.without(frozen, func() {
		w.signal(daemons[0], syscall.SIGSTOP)
		end := time.Now().Add(freezeTime)
		w.reportRemote(url, "one process is frozen", idempotent, once)
		w.eventually(adoption, "the freeze is over", func() bool { return time.Now().After(end) })
		w.signal(daemons[0], syscall.SIGCONT)
	})
	w.waitReady(4)
	w.say("continued: 4 members")

	idempotent, once = w.mixed("killed", 16, "draw?time=2s")
	w.signal(daemons[1], syscall.SIGKILL)
	w.gone[w.fleet.Entries[1]] = true
	w.reportRemote(url, "another is killed", idempotent, once)
	w.waitReady(3)

	idempotent, once = w.mixed("stopped", 16, "draw?time=1s")
	w.gone[w.fleet.Entries[2]] = true
	w.signal(daemons[2], syscall.SIGTERM)
	w.say("planned stop: error %v", w.ended(daemons[2]))
	w.reportRemote(url, "a third has stopped", idempotent, once)
	w.golden("separate_processes")
}

func (w *world) reportRemote(url, what string, idempotent, once batch) {
	w.t.Helper()
	w.say("%s", what)
	w.say("  idempotent: %s", w.summary(adoption, idempotent))
	w.say("  not idempotent: %s", w.summary(adoption, once))
	most, started := w.remoteStarts(url, once)
	w.say("  not idempotent: %d steps started, most starts of a step: %d", started, most)
}
