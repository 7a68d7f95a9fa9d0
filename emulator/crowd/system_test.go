package crowd

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Settings of the entry under test. The bounds of the checks are the same numbers.
const (
	memoryMB      = 96        // of the entry's VM
	maxFDs        = 700       // of the entry's process
	fileFDs       = 200       // of these, for files
	maxBodyBytes  = 256 << 10 // declared by the operators
	host          = "crowd.example"
	queue         = "alpha"
	key           = "key-0"
	patience      = 60 * time.Second // for what must happen at any time
	requestTime   = 5 * time.Second  // of one try of an ordinary request
	samplePause   = 10 * time.Millisecond
	signalPause   = 50 * time.Millisecond // between signals of a series
	firstPort     = 20000                 // below those that the kernel gives to outgoing connections
	portCount     = 12000
	procLocal     = 1 // field of a line of /proc/net/tcp: local address
	procState     = 3 // field of a line of /proc/net/tcp: state
	procQueues    = 4 // field of a line of /proc/net/tcp: send and receive queue, hexadecimal
	procListening = "0A"
	bytesPerMB    = 1 << 20
	bytesPerKB    = 1 << 10
	answerTries   = 200
	answerPause   = 100 * time.Millisecond
	leaseMS       = 6000
	workerMaxLive = "6s"
)

var programs string // folder of the built programs

func TestMain(m *testing.M) {
	code := 1
	dir, err := os.MkdirTemp("", "crowd-")
	if err == nil {
		programs = dir
		build := exec.Command("go", "build", "-o", dir, "amaranthfork.example/cmd/amaranthd", "amaranthfork.example/cmd/amaranth-soak", "amaranthfork.example/cmd/amaranth")
		var out []byte
		if out, err = build.CombinedOutput(); err == nil {
			code = m.Run()
		} else {
			fmt.Fprintf(os.Stderr, "%s\n", out)
		}
		_ = os.RemoveAll(dir) // a temporary folder
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// environment is what entries run beside: an emulated table service and a worker.
type environment struct {
	t       *testing.T
	dir     string // of logs and settings
	service string // address of the table service
	admin   string // address at which the test controls it
	pid     int    // of the table service
	nextID  atomic.Int64
}

// system is an entry in an environment.
type system struct {
	*environment
	name                         string
	callers, readiness, internal string // addresses of the entry
	settings                     string // path of its settings file
	entry                        *exec.Cmd
	entryPID                     atomic.Int64
	ended                        chan struct{} // closed when the entry's process has ended
	done                         chan struct{} // closed when no more samples are taken
	sampled                      sync.WaitGroup
	takeFirst                    int64 // bytes of answers that each client of a crowd takes; 0 for all

	// The largest of all samples: resident, unread and untaken; unread; untaken; ...
	peakKB, unreadKB, untakenKB, sockets, fds int64
}

var nextPort atomic.Int64

func freeAddress(t *testing.T) string {
	t.Helper()
	nextPort.CompareAndSwap(0, int64(os.Getpid()*89%portCount))
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		if l, err := net.Listen("tcp", address); err == nil {
			if err := l.Close(); err != nil {
				t.Fatal(err)
			}
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func startProcess(cmd *exec.Cmd, log string) error {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer out.Close() // the process has its own descriptor
	cmd.Stdout, cmd.Stderr = out, out
	if _, err := cmd.StdinPipe(); err != nil { // the emulator's programs end with their input
		return err
	}
	return cmd.Start()
}

// startSystem starts the processes and waits until a job is accepted.
func startSystem(t *testing.T) *system {
	t.Helper()
	return startEnvironment(t).startEntry("entry-0")
}

// startEnvironment starts a table service and a worker.
func startEnvironment(t *testing.T) *environment {
	t.Helper()
	e := &environment{t: t, dir: t.TempDir(), service: freeAddress(t), admin: freeAddress(t)}
	worker, control := freeAddress(t), freeAddress(t)
	soak := filepath.Join(programs, "amaranth-soak")
	run := func(log string, args ...string) (pid int) {
		cmd := exec.Command(soak, args...)
		if err := startProcess(cmd, filepath.Join(e.dir, log)); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			_ = cmd.Process.Kill() // fails only if it has ended
			_ = cmd.Wait()         // it was killed
		})
		return cmd.Process.Pid
	}
	e.pid = run("service.log", "service", "--listen", e.service, "--admin", e.admin, "--seed", "1")
	e.await("table service", func() error { return postJSON(e.admin, "/row", declarations(1)) })
	run("worker.log", "worker", "--id", "w-00", "--pool", queue, "--zone", "dc-0", "--listen", worker, "--control", control,
		"--advertise", worker, "--service", e.admin, "--max-lease", workerMaxLive, "--seed", "1")
	return e
}

// startEntry starts an entry, waits until it accepts a job, and takes samples of its process.
func (e *environment) startEntry(name string) *system {
	e.t.Helper()
	s := e.newEntry(name)
	if err := s.start(); err != nil {
		e.t.Fatal(err)
	}
	s.ordinary("at the start")
	s.sampled.Go(s.sample)
	return s
}

// newEntry writes the settings of an entry.
func (e *environment) newEntry(name string) *system {
	e.t.Helper()
	s := &system{environment: e, name: name, callers: freeAddress(e.t), readiness: freeAddress(e.t), internal: freeAddress(e.t), done: make(chan struct{})}
	_, port, err := net.SplitHostPort(s.internal)
	if err != nil {
		e.t.Fatal(err)
	}
	internalPort, err := strconv.Atoi(port)
	if err != nil {
		e.t.Fatal(err)
	}
	settings, err := json.Marshal(map[string]any{
		"node_name": name, "ip": "127.0.0.1", "zone": "dc-0",
		"listen":         map[string]string{"frontend": s.callers, "readiness": s.readiness},
		"internal_ports": []int{internalPort, internalPort},
		"limits":         map[string]any{"cpu_share": 0.4, "memory_mb": memoryMB, "max_fds": maxFDs},
		"bounds": map[string]any{"hold_max_ms": leaseMS, "stop_grace_ms": 900, "grace_s": 6, "revoke_ms": 5000,
			"status_s": 120, "migrate_s": 1.5, "maintenance_s": 2, "lease_ms": 3000},
		"platform": map[string]any{"address": e.service},
		"cloud":    map[string]any{"address": e.service, "duty_per_s": 64},
	})
	if err != nil {
		e.t.Fatal(err)
	}
	s.settings = filepath.Join(e.dir, name+".json")
	if err := os.WriteFile(s.settings, settings, 0o600); err != nil {
		e.t.Fatal(err)
	}
	return s
}

// start starts the entry's process.
func (s *system) start() error {
	cmd := exec.Command(filepath.Join(programs, "amaranthd"), "platform")
	cmd.Env = append(os.Environ(), "AMARANTHFORK_SETTINGS="+s.settings)
	if err := startProcess(cmd, s.log()); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait() // that it has ended is what counts
		close(ended)
	}()
	s.entry, s.ended = cmd, ended
	s.entryPID.Store(int64(cmd.Process.Pid))
	s.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL) // fails only if it has ended
		<-ended
		if s.t.Failed() {
			if log, err := os.ReadFile(s.log()); err == nil {
				s.t.Logf("last lines of the log of %s:\n%s", s.name, log[max(0, len(log)-4000):])
			}
		}
	})
	return nil
}

// log is the path of the log of all processes of the entry.
func (s *system) log() string { return filepath.Join(s.dir, s.name+".log") }

// restart ends the entry's process with signals and starts the next one.
func (s *system) restart(signals ...os.Signal) error {
	if err := s.stop(signals...); err != nil {
		return err
	}
	return s.start()
}

// stop ends the entry's process with signals, one right after the other.
func (s *system) stop(signals ...os.Signal) error {
	select {
	case <-s.ended:
		return fmt.Errorf("%s has ended before it was told to: %v", s.name, s.entry.ProcessState)
	default:
	}
	for _, sig := range signals {
		if err := s.entry.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
			return err
		}
		time.Sleep(signalPause)
	}
	select {
	case <-s.ended:
		return nil
	case <-time.After(patience):
		return fmt.Errorf("%s has not ended %s after %v", s.name, patience, signals)
	}
}

// declarations are the operators' declarations.
func declarations(version int, keys ...string) map[string]any {
	return map[string]any{"name": "config", "value": map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "q-" + queue, "host": host, "prefix": "/" + queue + "/", "service": queue, "timeout_ms": 3000,
			"max_attempts": 3, "stretch": 2, "completion_target_ms": 1000}},
		"services": []any{map[string]any{"name": queue, "admission_check": true}},
		"tenants":  []any{map[string]any{"name": "team", "api_keys": append([]string{key}, keys...), "weight": 50}},
		"limits":   map[string]any{"max_body_bytes": maxBodyBytes},
	}}
}

func postJSON(address, path string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: requestTime}
	resp, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// await repeats f until it returns nil.
func (e *environment) await(what string, f func() error) {
	e.t.Helper()
	var err error
	for range answerTries {
		if err = f(); err == nil {
			return
		}
		time.Sleep(answerPause)
	}
	e.t.Fatalf("%s: %v", what, err)
}

func (e *environment) path() string { return fmt.Sprintf("/%s/%016x", queue, e.nextID.Add(1)) }

const smallJob = `{"task_spec":"{\"step_ms\":[100]}","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":100}]}`

// ordinary hands in a small job, as a caller that tries again after a refusal or a broken
// connection, and asks for its state.
func (s *system) ordinary(when string) {
	s.t.Helper()
	client := http.Client{Timeout: requestTime, Transport: &http.Transport{DisableKeepAlives: true}}
	path := s.path()
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		s.await("ordinary "+method+" "+when, func() error { return s.request(&client, method, s.callers, path, strings.NewReader(smallJob)) })
	}
	s.await("readiness "+when, func() error { return s.request(&client, http.MethodGet, s.readiness, "/v1/ready", nil) })
	s.await("metrics "+when, func() error { return s.request(&client, http.MethodGet, s.internal, "/metrics", nil) })
}

func (s *system) request(client *http.Client, method, address, path string, body io.Reader) error {
	if method == http.MethodGet {
		body = nil
	}
	req, err := http.NewRequest(method, "http://"+address+path, body)
	if err != nil {
		return err
	}
	req.Host = host
	req.Header.Set("X-Key", key)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return err
}

// sample records what the entry's process uses until done is closed.
func (s *system) sample() {
	for {
		resident := s.status("VmRSS:")
		unread, untaken := s.queued()
		s.peakKB = max(s.peakKB, resident+unread+untaken, s.status("VmHWM:"))
		s.unreadKB, s.untakenKB = max(s.unreadKB, unread), max(s.untakenKB, untaken)
		sockets, fds := s.descriptors()
		s.sockets, s.fds = max(s.sockets, sockets), max(s.fds, fds)
		select {
		case <-s.done:
			return
		case <-time.After(samplePause):
		}
	}
}

// status returns a line of the process's status, in KB; 0 if the process has ended.
func (s *system) status(name string) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.entryPID.Load()))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), "\n"+name)
	var kb int64
	if _, err := fmt.Sscan(rest, &kb); err != nil {
		return 0
	}
	return kb
}

// queued returns the bytes that the entry's machine has received and the process has not
// read, and those of answers that clients have not taken, in KB. Both count toward the memory
// of the machine.
func (s *system) queued() (unread, untaken int64) {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		s.t.Errorf("bytes that are received and unread: %v", err)
		return 0, 0
	}
	ports := map[string]bool{}
	for _, address := range []string{s.callers, s.readiness, s.internal} {
		_, port, _ := strings.Cut(address, ":")
		n, _ := strconv.Atoi(port) // freeAddress has written it
		ports[fmt.Sprintf("%04X", n)] = true
	}
	for line := range strings.Lines(string(b)) {
		fields := strings.Fields(line)
		if len(fields) <= procQueues || fields[procState] == procListening {
			continue
		}
		if _, port, _ := strings.Cut(fields[procLocal], ":"); !ports[port] {
			continue
		}
		sent, received, _ := strings.Cut(fields[procQueues], ":")
		if n, err := strconv.ParseInt(sent, 16, 64); err == nil {
			untaken += n
		}
		if n, err := strconv.ParseInt(received, 16, 64); err == nil {
			unread += n
		}
	}
	return unread / bytesPerKB, untaken / bytesPerKB
}

func (s *system) descriptors() (sockets, all int64) {
	dir := fmt.Sprintf("/proc/%d/fd", s.entryPID.Load())
	list, err := os.ReadDir(dir)
	if err != nil {
		return 0, 0
	}
	for _, e := range list {
		if target, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			sockets++
		}
	}
	return sockets, int64(len(list))
}

// check compares what the process has used with the limits in its settings.
func (s *system) check() {
	s.t.Helper()
	close(s.done)
	s.sampled.Wait()
	s.t.Logf("peak of memory %d KB of %d, unread at most %d KB, untaken %d KB, %d sockets of %d, %d descriptors of %d",
		s.peakKB, memoryMB*bytesPerMB/bytesPerKB, s.unreadKB, s.untakenKB, s.sockets, maxFDs-fileFDs, s.fds, maxFDs)
	select {
	case <-s.ended:
		s.t.Error("the process has ended")
	default:
	}
	if s.peakKB == 0 || s.sockets == 0 {
		s.t.Error("the use of the process could not be read")
	}
	if s.peakKB > memoryMB*bytesPerMB/bytesPerKB {
		s.t.Errorf("memory: %d KB, the VM has %d", s.peakKB, memoryMB*bytesPerMB/bytesPerKB)
	}
	if s.sockets > maxFDs-fileFDs || s.fds > maxFDs {
		s.t.Errorf("%d sockets of %d, %d descriptors of %d", s.sockets, maxFDs-fileFDs, s.fds, maxFDs)
	}
}
