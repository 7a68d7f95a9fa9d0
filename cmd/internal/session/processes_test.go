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
	operatorToken  = "operator-of-the-test"
	freezeDuration = 12 * time.Second // two session TTLs, so that the session is fenced
)

// process is a daemon started by the test, with its log lines.
type process struct {
	command *exec.Cmd
	exited  chan error
	mu      sync.Mutex
	log     []string
}

// waitForLog waits for a log line with an event and returns the value of one of
// its fields.
func (h *harness) waitForLog(p *process, event, field string) string {
	h.t.Helper()
	var value string
	h.eventually(conditionTimeout, "event "+event, func() bool {
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

// startDaemon starts a daemon and collects its log. If the test fails, the last
// lines are shown.
func (h *harness) startDaemon(name string, args ...string) *process {
	h.t.Helper()
	p := &process{command: exec.Command(name, args...), exited: make(chan error, 1)}
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		h.t.Fatal(err)
	}
	if err := p.command.Start(); err != nil {
		h.t.Fatal(err)
	}
	go func() {
		lines := bufio.NewScanner(stdout)
		for lines.Scan() {
			p.mu.Lock()
			p.log = append(p.log, lines.Text())
			p.mu.Unlock()
		}
		p.exited <- p.command.Wait()
	}()
	h.t.Cleanup(func() {
		_ = p.command.Process.Kill() // fails if the process has ended already
		if h.t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			h.t.Logf("%s: last lines of its log:\n%s", filepath.Base(name), strings.Join(p.log[max(0, len(p.log)-15):], "\n"))
		}
	})
	return p
}

func (h *harness) signal(p *process, s os.Signal) {
	h.t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		h.t.Fatal(err)
	}
}

// waitForExit waits for a process to end and returns its error.
func (h *harness) waitForExit(p *process) error {
	h.t.Helper()
	select {
	case err := <-p.exited:
		return err
	case <-time.After(conditionTimeout):
		h.t.Fatal("the process does not end")
		return nil
	}
}

// fleetFile writes the fleet file of amaranth-platform, with the workers of the
// sample folder and n entry VMs in each data centre. It returns the file's path
// and the entry VMs.
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

// ctl runs amaranthctl, which must succeed, and returns its standard output.
func (h *harness) ctl(program, folder string, args ...string) []byte {
	h.t.Helper()
	cmd := exec.CommandContext(h.ctx, program, args...)
	cmd.Env = append(os.Environ(), "AMARANTH_SERVER="+h.live()[0].URL, "AMARANTH_TOKEN="+operatorToken, "AMARANTH_FOLDER="+folder)
	out, err := cmd.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		h.t.Fatalf("amaranthctl %s: %v\n%s", strings.Join(args, " "), err, exit.Stderr)
	}
	if err != nil {
		h.t.Fatal(err)
	}
	return out
}

// remoteStarts is startLog.mostStarts for workers in another process: it reads
// the starts from the amaranth-platform at url.
func (h *harness) remoteStarts(url string, b batch) (most, started int) {
	h.t.Helper()
	response, err := http.Get(url + "/admin/starts")
	if err != nil {
		h.t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		h.t.Fatal(err)
	}
	var list []memory.StepStarts
	if err := json.Unmarshal(content, &list); err != nil {
		h.t.Fatal(err)
	}
	ofBatch := map[fleet.JobID]bool{}
	for _, job := range b.jobs {
		ofBatch[job.ID] = true
	}
	for _, s := range list {
		if ofBatch[s.Job] {
			most = max(most, s.Starts)
			started++
		}
	}
	return most, started
}

// withoutCallersAt runs fn. The test sends no requests to the entry until fn returns.
func (h *harness) withoutCallersAt(e *local.Entry, fn func()) {
	h.mu.Lock()
	h.removed[e] = true
	h.mu.Unlock()
	fn()
	h.mu.Lock()
	delete(h.removed, e)
	h.mu.Unlock()
}

// Guards against faults of the daemons as operators run them: a process that
// continues its old session although it was fenced while the process was
// frozen, work lost with a killed process, a planned stop that fails, and a
// folder that amaranthctl doesn't bring into force.
func TestSeparateProcesses(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		"amaranthfork.example/cmd/amaranth-platform", "amaranthfork.example/cmd/amaranthd", "amaranthfork.example/cmd/amaranthctl")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	h := &harness{t: t, ctx: t.Context(), fleet: &local.Fleet{Token: operatorToken}, keys: map[fleet.TeamName]string{}, teams: map[fleet.JobID]fleet.TeamName{}, removed: map[*local.Entry]bool{}}
	file, entries := fleetFile(t, dir, 2)
	platform := h.startDaemon(filepath.Join(dir, "amaranth-platform"), "--listen", "127.0.0.1:0", "--fleet", file)
	url := "http://" + h.waitForLog(platform, "serving", "address")
	var daemons []*process
	for _, e := range entries {
		d := h.startDaemon(filepath.Join(dir, "amaranthd"), "--data-centre", string(e.DataCentre), "--vm", e.ID,
			"--api-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0", "--platform-url", url,
			"--peer-secret", "secret-of-the-test", "--operator-token", operatorToken, "--drain-delay", "1s")
		daemons = append(daemons, d)
		h.fleet.Entries = append(h.fleet.Entries, &local.Entry{VM: e.ID, DataCentre: e.DataCentre, URL: "http://" + h.waitForLog(d, "listening", "api")})
	}
	h.eventually(conditionTimeout, "all entries are members", func() bool {
		for _, e := range h.live() {
			if status, err := h.operator(e).Status(h.ctx); err != nil || len(status.Members) != len(entries) {
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
	if err := json.Unmarshal(h.ctl(ctl, folder, "apply", "-o", "json"), &applied); err != nil {
		t.Fatal(err)
	}
	h.report("amaranthctl apply: revision %d", applied.Revision)
	for _, team := range []fleet.TeamName{"booking", "supply"} {
		var granted struct {
			Key      string         `json:"key"`
			Revision fleet.Revision `json:"revision"`
		}
		if err := json.Unmarshal(h.ctl(ctl, folder, "key", "new", string(team), "-o", "json"), &granted); err != nil {
			t.Fatal(err)
		}
		h.keys[team] = granted.Key
		h.report("amaranthctl key new %s: revision %d", team, granted.Revision)
	}
	h.waitReady(len(entries))

	idempotent, nonIdempotent := h.submitMixed("frozen", 16, "draw?time=2s")
	frozen := h.live()[0]
	h.withoutCallersAt(frozen, func() {
		h.signal(daemons[0], syscall.SIGSTOP)
		end := time.Now().Add(freezeDuration)
		h.reportRemote(url, "one process is frozen", idempotent, nonIdempotent)
		h.eventually(recoveryTimeout, "the freeze is over", func() bool { return time.Now().After(end) })
		h.signal(daemons[0], syscall.SIGCONT)
	})
	h.waitReady(4)
	h.report("continued: 4 members")

	idempotent, nonIdempotent = h.submitMixed("killed", 16, "draw?time=2s")
	h.signal(daemons[1], syscall.SIGKILL)
	h.removed[h.fleet.Entries[1]] = true
	h.reportRemote(url, "another is killed", idempotent, nonIdempotent)
	h.waitReady(3)

	idempotent, nonIdempotent = h.submitMixed("stopped", 16, "draw?time=1s")
	h.removed[h.fleet.Entries[2]] = true
	h.signal(daemons[2], syscall.SIGTERM)
	h.report("planned stop: error %v", h.waitForExit(daemons[2]))
	h.reportRemote(url, "a third has stopped", idempotent, nonIdempotent)
	h.assertGolden("separate_processes")
}

// reportRemote reports a heading, the results of two batches and the starts of the
// second.
func (h *harness) reportRemote(url, heading string, idempotent, nonIdempotent batch) {
	h.t.Helper()
	h.report("%s", heading)
	h.report("  idempotent: %s", h.resultCounts(recoveryTimeout, idempotent))
	h.report("  not idempotent: %s", h.resultCounts(recoveryTimeout, nonIdempotent))
	most, started := h.remoteStarts(url, nonIdempotent)
	h.report("  not idempotent: %d steps started, most starts of a step: %d", started, most)
}
