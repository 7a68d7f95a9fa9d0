package ctl

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"amaranthfork.example/client"
	"amaranthfork.example/config"
	"amaranthfork.example/fleet"
)

const baseFile = `dataCentres:
  dc-a: {region: north}
  dc-b: {region: north}
pools:
  quotes: {vms: ["w-[001-008]"], maxUnavailable: 1}
teams:
  booking: {share: 40%, limit: 10}
queues:
  quotes: {pool: quotes, teams: [booking]}
`

// session runs commands one after the other in a folder and records them.
type session struct {
	t      *testing.T
	server *standIn
	url    string // that commands use
	origin string // of the stand-in
	token  string
	ids    int
	record bytes.Buffer
}

func newSession(t *testing.T) *session {
	t.Helper()
	t.Chdir(t.TempDir())
	s := &session{t: t, token: "operator"}
	s.write("00000001-base.yaml", baseFile)
	s.server, s.url = newStandIn(t, config.Folder{"00000001-base.yaml": []byte(baseFile)})
	s.origin = s.url
	return s
}

// write writes a file of the folder.
func (s *session) write(name, content string) {
	s.t.Helper()
	if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// run runs a command and records its output and exit code.
func (s *session) run(line string, want int) {
	s.t.Helper()
	var stdout, stderr bytes.Buffer
	ctx, cancel := context.WithCancel(s.t.Context())
	defer cancel()
	s.set(func(server *standIn) { server.cancel = cancel })
	env := map[string]string{"AMARANTH_SERVER": s.url, "AMARANTH_TOKEN": s.token, "AMARANTH_KEY": "k1.secret"}
	code := Run(ctx, Env{
		Args:         splitArgs(line),
		Stdin:        strings.NewReader("from standard input"),
		Stdout:       &stdout,
		Stderr:       &stderr,
		Getenv:       func(name string) string { return env[name] },
		Random:       bytes.NewReader(bytes.Repeat([]byte{7}, 100)),
		NewID:        func() string { s.ids++; return fmt.Sprintf("id-%d", s.ids) },
		PollInterval: time.Millisecond,
		RetryWait:    time.Millisecond,
	})
	if code != want {
		s.t.Errorf("%s: exit code %d, want %d\n%s%s", line, code, want, &stdout, &stderr)
	}
	fmt.Fprintf(&s.record, "$ amaranthctl %s\n%s", line, &stdout)
	for errLine := range strings.Lines(stderr.String()) {
		fmt.Fprintf(&s.record, "[stderr] %s", errLine)
	}
	fmt.Fprintf(&s.record, "[exit %d]\n\n", code)
}

// set changes the switches of the stand-in.
func (s *session) set(change func(server *standIn)) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	change(s.server)
}

// splitArgs splits a command line at blanks, outside of single quotes.
func splitArgs(line string) []string {
	var args []string
	for i, part := range strings.Split(line, "'") {
		if i%2 == 1 {
			args = append(args, part)
			continue
		}
		args = append(args, strings.Fields(part)...)
	}
	return args
}

// files records the names of the files in the folder.
func (s *session) files() {
	s.t.Helper()
	names, err := filepath.Glob("*.yaml")
	if err != nil {
		s.t.Fatal(err)
	}
	fmt.Fprintf(&s.record, "folder: %s\n\n", strings.Join(names, " "))
}

// assert compares the record with the golden file.
func (s *session) assert(dir, name string) {
	s.t.Helper()
	text := strings.ReplaceAll(s.record.String(), s.origin, "http://entry.example")
	goldie.New(s.t, goldie.WithFixtureDir(dir)).Assert(s.t, name, []byte(text))
}

// fixtures returns the directory of the golden files; sessions change the
// working directory.
func fixtures(t *testing.T) string {
	t.Helper()
	dir, err := filepath.Abs("testdata")
	if err != nil {
		t.Fatal(err)
	}
	return dir
}

// Guards against changes of the operator's sessions with configurations: what is
// shown, which files appear and disappear, and the exit codes that scripts test.
func TestConfigurationSession(t *testing.T) {
	dir := fixtures(t)
	s := newSession(t)
	s.run("validate", ExitOK)
	s.run("validate -o json", ExitOK)
	s.run("diff", ExitOK)
	s.run("apply", ExitOK)
	s.run("dc out dc-b", ExitOK)
	s.run("dc out dc-b", ExitOK)
	s.run("dc out dc-z", ExitFailed)
	s.run("key new booking", ExitOK)
	s.run("key new nobody", ExitFailed)
	s.run("key withdraw k-0707070707", ExitOK)
	s.run("key withdraw k-0707070707 -o json", ExitOK)
	s.run("dc in dc-b -o json", ExitOK)
	s.files()
	s.write("00000006-limits.yaml", "teams:\n  booking: {limit: 0}\n  design: {share: 70%}\n")
	s.run("validate", ExitFailed)
	s.run("apply -o json", ExitFailed)
	s.write("00000006-limits.yaml", "teams:\n  booking: {limit: 20}\n  design: {share: 10%, limit: 5}\n")
	s.run("diff", ExitOK)
	s.run("diff -o json", ExitOK)
	s.run("apply --base 41", ExitConflict)
	s.set(func(server *standIn) { server.pending = 3 })
	s.run("apply --id ticket-77", ExitOK)
	s.run("apply --id ticket-77", ExitOK)
	s.run("compact", ExitOK)
	s.files()
	s.run("apply", ExitConflict)
	s.run("apply --prune", ExitOK)
	s.run("diff", ExitOK)
	s.write("00000002-stale.yaml", "teams: {booking: {limit: 1}}\n")
	s.run("pull", ExitOK)
	s.run("pull --prune", ExitOK)
	s.files()
	s.assert(dir, "configuration")
}

// Guards against changes that are lost, made twice or left half done when
// operators race, answers are lost or the fleet refuses.
func TestConfigurationFailures(t *testing.T) {
	dir := fixtures(t)
	s := newSession(t)
	s.set(func(server *standIn) {
		server.race = config.Folder{"00000002-other.yaml": []byte("teams: {booking: {limit: 30}}\n")}
	})
	s.run("dc out dc-a", ExitOK)
	s.files()
	s.run("pull", ExitOK)
	s.write("00000004-mine.yaml", "teams: {booking: {limit: 40}}\n")
	s.set(func(server *standIn) {
		server.race = config.Folder{"00000004-theirs.yaml": []byte("teams: {booking: {limit: 50}}\n")}
	})
	s.run("apply", ExitConflict)
	s.run("pull", ExitOK)
	s.set(func(server *standIn) { server.lost = 2 })
	s.run("apply", ExitOK)
	s.set(func(server *standIn) { server.refusing = true })
	s.run("dc in dc-a", ExitNotRun)
	s.files()
	s.set(func(server *standIn) { server.refusing = false })
	s.set(func(server *standIn) { server.lost = 5 })
	s.run("key new booking --id lost", ExitUnknown)
	s.run("diff", ExitOK)
	s.set(func(server *standIn) { server.pending, server.interrupt = 3, true })
	s.run("dc in dc-a", ExitUnknown)
	s.run("apply --id id-6", ExitOK)
	s.write("00000009-later.yaml", "teams: {booking: {limit: 60}}\n")
	s.run("apply --id id-6", ExitConflict)
	s.set(func(server *standIn) { server.folder["../outside.yaml"] = []byte("teams: {}\n") })
	s.run("pull", ExitFailed)
	if _, err := os.Stat("../outside.yaml"); err == nil {
		t.Error("pull wrote a file outside of the folder")
	}
	s.set(func(server *standIn) { delete(server.folder, "../outside.yaml") })
	s.token = "wrong"
	s.run("dc out dc-a", ExitNotRun)
	s.files()
	s.run("diff --timeout 1ns", ExitNotRun)
	s.url = "http://127.0.0.1:1"
	s.run("diff", ExitNotRun)
	s.assert(dir, "failures")
	if s.server.revision != 47 {
		t.Errorf("the revision is %d", s.server.revision)
	}
}

// Guards against changes of the tables and JSON that show the fleet.
func TestFleetSession(t *testing.T) {
	dir := fixtures(t)
	s := newSession(t)
	for _, command := range []string{"status", "pools", "teams", "maintenance status", "maintenance pause", "maintenance resume", "drain w-003", "undrain w-003"} {
		s.run(command, ExitOK)
		s.run(command+" -o json", ExitOK)
	}
	s.run("drain w-999", ExitNotRun)
	s.run("drain w-999 -o json", ExitNotRun)
	s.assert(dir, "fleet")
}

// Guards against job commands whose exit code does not tell the outcome.
func TestJobSession(t *testing.T) {
	dir := fixtures(t)
	s := newSession(t)
	s.write("job.json", `{"id":"whole","class":"urgent","steps":[{"command":"price","payload":"cGFnZQ=="},{"command":"mail"}],"idempotent":true}`)
	s.run("submit quotes --command price --payload 'two walls' --class urgent --cpu 0.5 --memory 64GB --deadline 5m", ExitOK)
	s.run("submit quotes --command price --payload @- --wait", ExitOK)
	s.run("submit quotes --file job.json --wait -o json", ExitOK)
	s.run("watch booking-whole", ExitOK)
	for _, outcome := range []fleet.Outcome{fleet.OutcomeFailed, fleet.OutcomeNotRun, fleet.OutcomeUnknown} {
		id := string(outcome)
		result := &fleet.Result{Outcome: outcome, Reason: fleet.ReasonVMLost, Detail: "worker w-003 is gone"}
		answers := []client.Job{{ID: fleet.JobID(id), State: client.JobRunning, Step: 1}, {ID: fleet.JobID(id), State: client.JobEnded, Step: 1, Result: result}}
		s.set(func(server *standIn) { server.jobs[id] = answers })
		s.run("watch "+id, outcomeCode(outcome))
	}
	s.set(func(server *standIn) { server.jobs["slow"] = []client.Job{{ID: "slow", State: client.JobRunning}} })
	outage := &fleet.Result{Outcome: fleet.OutcomeCompleted, Body: []byte("priced"), Unrecorded: true}
	s.set(func(server *standIn) {
		server.jobs["outage"] = []client.Job{{ID: "outage", State: client.JobEnded, Result: outage}}
	})
	s.run("watch outage", ExitOK)
	s.run("submit quotes --file -", ExitUsage)
	s.run("cancel slow", ExitOK)
	s.run("watch slow", ExitUnknown)
	s.run("cancel nothing", ExitNotRun)
	s.run("submit nowhere --command price", ExitNotRun)
	s.set(func(server *standIn) { server.refusal = "queue_full" })
	s.run("submit quotes --command price -o json", ExitNotRun)
	s.assert(dir, "jobs")
	if first := s.server.requests[0]; first != "POST /v1/queues/quotes/jobs Bearer operatork1.secret" {
		t.Errorf("the first request was %s", first)
	}
}

// Guards against wrong command lines that do something or end with another code.
func TestUsage(t *testing.T) {
	dir := fixtures(t)
	s := newSession(t)
	for _, line := range []string{
		"nonsense", "dc", "dc sideways dc-a", "dc out", "key new", "status extra", "status -o xml", "status --speed 9",
		"--timeout -1s status", "validate --folder missing", "key new booking --id a.b",
		"submit quotes", "submit quotes --command a --file b", "submit quotes --command a --memory 64", "submit quotes --command a --cpu 0 --run-time 5",
		"submit quotes --command a --class soon", "submit quotes --file missing.json", "submit quotes --command a --payload @missing", "status --ca-file missing.pem",
	} {
		s.run(line, ExitUsage)
	}
	s.url = ""
	s.run("status", ExitUsage)
	if len(s.server.requests) > 0 {
		t.Errorf("requests were sent: %v", s.server.requests)
	}
	s.assert(dir, "usage")
}
