package ctl

import (
	"bytes"
	"context"
	"fmt"
	"net"
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

// cliSession runs commands one after the other in a temporary folder and
// records them with their output.
type cliSession struct {
	t          *testing.T
	fake       *fakeEntry
	serverURL  string // AMARANTH_SERVER of the commands
	fakeURL    string // URL of fake, replaced in the golden files
	token      string
	ids        int // number of ids generated so far
	transcript bytes.Buffer
}

func newCLISession(t *testing.T) *cliSession {
	t.Helper()
	t.Chdir(t.TempDir())
	s := &cliSession{t: t, token: "operator"}
	s.write("00000001-base.yaml", baseFile)
	s.fake, s.serverURL = newFakeEntry(t, config.Folder{"00000001-base.yaml": []byte(baseFile)})
	s.fakeURL = s.serverURL
	return s
}

// write writes a file in the folder.
func (s *cliSession) write(name, content string) {
	s.t.Helper()
	if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// run runs a command, checks its exit code and records both with the output.
func (s *cliSession) run(line string, want int) {
	s.t.Helper()
	var stdout, stderr bytes.Buffer
	ctx, cancel := context.WithCancel(s.t.Context())
	defer cancel()
	s.configureFake(func(server *fakeEntry) { server.cancel = cancel })
	env := map[string]string{"AMARANTH_SERVER": s.serverURL, "AMARANTH_TOKEN": s.token, "AMARANTH_KEY": "k1.secret"}
	code := Run(ctx, Env{
		Args:         splitArgs(line),
		Stdin:        strings.NewReader("from standard input"),
		Stdout:       &stdout,
		Stderr:       &stderr,
		Getenv:       func(name string) string { return env[name] },
		Random:       bytes.NewReader(bytes.Repeat([]byte{7}, 100)),
		NewID:        func() string { s.ids++; return fmt.Sprintf("id-%d", s.ids) },
		PollInterval: time.Millisecond,
		RetryPause:   time.Millisecond,
	})
	if code != want {
		s.t.Errorf("%s: exit code %d, want %d\n%s%s", line, code, want, &stdout, &stderr)
	}
	fmt.Fprintf(&s.transcript, "$ amaranthctl %s\n%s", line, &stdout)
	for errLine := range strings.Lines(stderr.String()) {
		fmt.Fprintf(&s.transcript, "[stderr] %s", errLine)
	}
	fmt.Fprintf(&s.transcript, "[exit %d]\n\n", code)
}

// configureFake changes fields of the fake entry under its lock.
func (s *cliSession) configureFake(change func(server *fakeEntry)) {
	s.fake.mu.Lock()
	defer s.fake.mu.Unlock()
	change(s.fake)
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

// recordFiles records the names of the files in the folder.
func (s *cliSession) recordFiles() {
	s.t.Helper()
	names, err := filepath.Glob("*.yaml")
	if err != nil {
		s.t.Fatal(err)
	}
	fmt.Fprintf(&s.transcript, "folder: %s\n\n", strings.Join(names, " "))
}

// assertGolden compares the transcript with a golden file.
func (s *cliSession) assertGolden(dir, name string) {
	s.t.Helper()
	text := strings.ReplaceAll(s.transcript.String(), s.fakeURL, "http://entry.example")
	goldie.New(s.t, goldie.WithFixtureDir(dir)).Assert(s.t, name, []byte(text))
}

// fixtures returns the absolute path of the golden files. Call it before
// newCLISession, which changes the working directory.
func fixtures(t *testing.T) string {
	t.Helper()
	dir, err := filepath.Abs("testdata")
	if err != nil {
		t.Fatal(err)
	}
	return dir
}

// Guards against unintended changes of the commands for configurations: their
// output, the files that they write and remove, and the exit codes that scripts
// rely on.
func TestConfigurationSession(t *testing.T) {
	dir := fixtures(t)
	s := newCLISession(t)
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
	s.recordFiles()
	s.write("00000006-limits.yaml", "teams:\n  booking: {limit: 0}\n  design: {share: 70%}\n")
	s.run("validate", ExitFailed)
	s.run("apply -o json", ExitFailed)
	s.write("00000006-limits.yaml", "teams:\n  booking: {limit: 20}\n  design: {share: 10%, limit: 5}\n")
	s.run("diff", ExitOK)
	s.run("diff -o json", ExitOK)
	s.run("apply --base 41", ExitConflict)
	s.configureFake(func(server *fakeEntry) { server.unconfirmedAnswers = 3 })
	s.run("apply --id ticket-77", ExitOK)
	s.run("apply --id ticket-77", ExitOK)
	s.run("compact", ExitOK)
	s.recordFiles()
	s.run("apply", ExitConflict)
	s.run("apply --prune", ExitOK)
	s.run("diff", ExitOK)
	s.write("00000002-stale.yaml", "teams: {booking: {limit: 1}}\n")
	s.run("pull", ExitOK)
	s.run("pull --prune", ExitOK)
	s.recordFiles()
	s.assertGolden(dir, "configuration")
}

// Guards against changes that are lost, applied twice or left half done when
// operators change the configuration at the same time, answers are lost or the
// fleet refuses.
func TestConfigurationFailures(t *testing.T) {
	dir := fixtures(t)
	s := newCLISession(t)
	s.configureFake(func(server *fakeEntry) {
		server.concurrentChange = config.Folder{"00000002-other.yaml": []byte("teams: {booking: {limit: 30}}\n")}
	})
	s.run("dc out dc-a", ExitOK)
	s.recordFiles()
	s.run("pull", ExitOK)
	s.write("00000004-mine.yaml", "teams: {booking: {limit: 40}}\n")
	s.configureFake(func(server *fakeEntry) {
		server.concurrentChange = config.Folder{"00000004-theirs.yaml": []byte("teams: {booking: {limit: 50}}\n")}
	})
	s.run("apply", ExitConflict)
	s.run("pull", ExitOK)
	s.configureFake(func(server *fakeEntry) { server.lostAnswers = 2 })
	s.run("apply", ExitOK)
	s.configureFake(func(server *fakeEntry) { server.refuseChanges = true })
	s.run("dc in dc-a", ExitNotRun)
	s.recordFiles()
	s.configureFake(func(server *fakeEntry) { server.refuseChanges = false })
	s.configureFake(func(server *fakeEntry) { server.lostAnswers = 5 })
	s.run("key new booking --id lost", ExitUnknown)
	s.run("diff", ExitOK)
	s.configureFake(func(server *fakeEntry) { server.unconfirmedAnswers, server.interruptAtLast = 3, true })
	s.run("dc in dc-a", ExitUnknown)
	s.run("apply --id id-6", ExitOK)
	s.write("00000009-later.yaml", "teams: {booking: {limit: 60}}\n")
	s.run("apply --id id-6", ExitConflict)
	s.configureFake(func(server *fakeEntry) { server.folder["../outside.yaml"] = []byte("teams: {}\n") })
	s.run("pull", ExitFailed)
	if _, err := os.Stat("../outside.yaml"); err == nil {
		t.Error("pull wrote a file outside of the folder")
	}
	s.configureFake(func(server *fakeEntry) { delete(server.folder, "../outside.yaml") })
	s.token = "wrong"
	s.run("dc out dc-a", ExitNotRun)
	s.recordFiles()
	s.run("diff --timeout 1ns", ExitNotRun)
	s.serverURL = "http://127.0.0.1:1"
	s.run("diff", ExitNotRun)
	s.assertGolden(dir, "failures")
	if s.fake.revision != 47 {
		t.Errorf("the accepted revision is %d, want 47", s.fake.revision)
	}
}

// Guards against unintended changes of the tables and the JSON that show the fleet.
func TestFleetSession(t *testing.T) {
	dir := fixtures(t)
	s := newCLISession(t)
	for _, command := range []string{"status", "pools", "teams", "maintenance status", "maintenance pause", "maintenance resume", "drain w-003", "undrain w-003"} {
		s.run(command, ExitOK)
		s.run(command+" -o json", ExitOK)
	}
	s.run("drain w-999", ExitNotRun)
	s.run("drain w-999 -o json", ExitNotRun)
	s.assertGolden(dir, "fleet")
}

// Guards against job commands whose exit code doesn't match the job's outcome.
func TestJobSession(t *testing.T) {
	dir := fixtures(t)
	s := newCLISession(t)
	s.write("job.json", `{"id":"whole","class":"urgent","steps":[{"command":"price","payload":"cGFnZQ=="},{"command":"mail"}],"idempotent":true}`)
	s.run("submit quotes --command price --payload 'two walls' --class urgent --cpu 0.5 --memory 64GB --deadline 5m", ExitOK)
	s.run("submit quotes --command price --payload @- --wait", ExitOK)
	s.run("submit quotes --file job.json --wait -o json", ExitOK)
	s.run("watch booking-whole", ExitOK)
	for _, outcome := range []fleet.Outcome{fleet.OutcomeFailed, fleet.OutcomeNotRun, fleet.OutcomeUnknown} {
		id := string(outcome)
		result := &fleet.Result{Outcome: outcome, Reason: fleet.ReasonVMLost, Detail: "worker w-003 is gone"}
		answers := []client.Job{{ID: fleet.JobID(id), State: client.JobRunning, Step: 1}, {ID: fleet.JobID(id), State: client.JobEnded, Step: 1, Result: result}}
		s.configureFake(func(server *fakeEntry) { server.jobs[id] = answers })
		s.run("watch "+id, outcomeCode(outcome))
	}
	s.configureFake(func(server *fakeEntry) { server.jobs["slow"] = []client.Job{{ID: "slow", State: client.JobRunning}} })
	outage := &fleet.Result{Outcome: fleet.OutcomeCompleted, Body: []byte("priced"), Unrecorded: true}
	s.configureFake(func(server *fakeEntry) {
		server.jobs["outage"] = []client.Job{{ID: "outage", State: client.JobEnded, Result: outage}}
	})
	s.run("watch outage", ExitOK)
	s.run("submit quotes --file -", ExitUsage)
	s.run("cancel slow", ExitOK)
	s.run("watch slow", ExitUnknown)
	s.run("cancel nothing", ExitNotRun)
	s.run("submit nowhere --command price", ExitNotRun)
	s.configureFake(func(server *fakeEntry) { server.submitRefusal = "queue_full" })
	s.run("submit quotes --command price -o json", ExitNotRun)
	s.assertGolden(dir, "jobs")
	if first := s.fake.requests[0]; first != "POST /v1/queues/quotes/jobs Bearer operatork1.secret" {
		t.Errorf("the first request was %s", first)
	}
}

// Guards against wrong command lines that send a request or end with another
// exit code than that of a usage error.
func TestUsage(t *testing.T) {
	dir := fixtures(t)
	s := newCLISession(t)
	for _, line := range []string{
		"nonsense", "dc", "dc sideways dc-a", "dc out", "key new", "status extra", "status -o xml", "status --speed 9",
		"--timeout -1s status", "validate --folder missing", "key new booking --id a.b",
		"submit quotes", "submit quotes --command a --file b", "submit quotes --command a --memory 64", "submit quotes --command a --cpu 0 --run-time 5",
		"submit quotes --command a --class soon", "submit quotes --file missing.json", "submit quotes --command a --payload @missing", "status --ca-file missing.pem",
	} {
		s.run(line, ExitUsage)
	}
	s.serverURL = ""
	s.run("status", ExitUsage)
	if len(s.fake.requests) > 0 {
		t.Errorf("requests were sent: %v", s.fake.requests)
	}
	s.assertGolden(dir, "usage")
}

// Guards against a check that misses a fault or an entry without effect, tells a wrong
// place, or changes the exit codes that scripts rely on.
func TestCheckSession(t *testing.T) {
	dir := fixtures(t)
	s := newCLISession(t)
	s.run("check", ExitOK)
	s.run("check --strict", ExitFailed)
	s.write("00000002-more.yaml", "teams:\n  design: {share: 10%, limit: 5}\npools:\n  idle: {vms: [x-1], maxUnavailable: 1}\nmaintenance: {maxPerRack: 4}\n")
	s.run("check -o json", ExitOK)
	s.write("00000003-bad.yaml", "teams: {design: {limit: 0}}\n")
	s.run("check", ExitFailed)
	const before = `{"version": 4, "routes": [{"name": "a", "host": "h.example", "prefix": "/a/", "service": "p", "public": true}], "services": [{"name": "p"}]}`
	s.write("before.json", before)
	s.write("after.json", strings.NewReplacer(`"service": "p"`, "\n  \"service\": \"q\"", `"public"`, `"publik"`).Replace(before))
	s.write("broken.json", "{\"version\": 4,\n\"routes\": [}")
	s.run("check --declarations before.json", ExitOK)
	s.run("check --declarations after.json --in-force before.json", ExitFailed)
	s.run("check --declarations broken.json -o json", ExitFailed)
	s.run("check --declarations missing.json", ExitUsage)
	s.run("check --in-force before.json", ExitUsage)
	unreachable := closedAddress(t)
	s.run("check --declarations before.json --table-service "+unreachable, ExitNotRun)
	s.run("check --declarations after.json --table-service "+unreachable, ExitFailed)
	s.transcript = *bytes.NewBufferString(strings.ReplaceAll(s.transcript.String(), unreachable, "table.example"))
	s.assertGolden(dir, "check")
}

// closedAddress returns a host:port at which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
