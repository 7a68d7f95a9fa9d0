package crowd

import (
	"bytes"
	"encoding/json"
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
	firstPort     = 20000 // below those that the kernel gives to outgoing connections
	portCount     = 12000
	procRxQueue   = 4 // field of a line of /proc/net/tcp: send and receive queue, hexadecimal
	procLocal     = 1 // field of a line of /proc/net/tcp: local address
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
		build := exec.Command("go", "build", "-o", dir, "amaranthfork.example/cmd/amaranthd", "amaranthfork.example/cmd/amaranth-soak")
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

// system is an entry beside an emulated table service and a worker.
type system struct {
	t                            *testing.T
	callers, readiness, internal string // addresses of the entry
	entry                        *exec.Cmd
	ended                        chan struct{} // closed when the entry's process has ended
	done                         chan struct{} // closed when no more samples are taken
	sampled                      sync.WaitGroup

	peakKB, unreadKB, sockets, fds int64 // the largest of all samples: resident and unread, unread, ...
	nextID                         atomic.Int64
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

func startProcess(t *testing.T, cmd *exec.Cmd, log string) {
	t.Helper()
	out, err := os.Create(log)
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = out, out
	if _, err := cmd.StdinPipe(); err != nil { // the emulator's programs end with their input
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = out.Close() // the process has its own descriptor
}

// startSystem starts the processes and waits until a job is accepted.
func startSystem(t *testing.T) *system {
	t.Helper()
	dir := t.TempDir()
	s := &system{t: t, callers: freeAddress(t), readiness: freeAddress(t), internal: freeAddress(t), ended: make(chan struct{}), done: make(chan struct{})}
	service, admin, worker, control := freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)
	soak := filepath.Join(programs, "amaranth-soak")
	run := func(log string, args ...string) {
		cmd := exec.Command(soak, args...)
		startProcess(t, cmd, filepath.Join(dir, log))
		t.Cleanup(func() {
			_ = cmd.Process.Kill() // fails only if it has ended
			_ = cmd.Wait()         // it was killed
		})
	}
	run("service.log", "service", "--listen", service, "--admin", admin, "--seed", "1")
	s.await("table service", func() error { return postJSON(admin, "/row", declarations()) })
	run("worker.log", "worker", "--id", "w-00", "--pool", queue, "--zone", "dc-0", "--listen", worker, "--control", control,
		"--advertise", worker, "--service", admin, "--max-lease", workerMaxLive, "--seed", "1")

	_, port, err := net.SplitHostPort(s.internal)
	if err != nil {
		t.Fatal(err)
	}
	internalPort, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	settings, err := json.Marshal(map[string]any{
		"node_name": "entry-0", "ip": "127.0.0.1", "zone": "dc-0",
		"listen":         map[string]string{"frontend": s.callers, "readiness": s.readiness},
		"internal_ports": []int{internalPort, internalPort},
		"limits":         map[string]any{"cpu_share": 0.4, "memory_mb": memoryMB, "max_fds": maxFDs},
		"bounds": map[string]any{"hold_max_ms": leaseMS, "stop_grace_ms": 900, "grace_s": 6, "revoke_ms": 5000,
			"status_s": 120, "migrate_s": 1.5, "maintenance_s": 2, "lease_ms": 3000},
		"platform": map[string]any{"address": service},
		"cloud":    map[string]any{"address": service, "duty_per_s": 64},
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "entry.json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	s.entry = exec.Command(filepath.Join(programs, "amaranthd"), "platform")
	s.entry.Env = append(os.Environ(), "AMARANTHFORK_SETTINGS="+path)
	startProcess(t, s.entry, filepath.Join(dir, "entry.log"))
	go func() {
		_ = s.entry.Wait() // that it has ended is what counts
		close(s.ended)
	}()
	t.Cleanup(func() {
		_ = s.entry.Process.Signal(syscall.SIGKILL) // fails only if it has ended
		<-s.ended
		if t.Failed() {
			if log, err := os.ReadFile(filepath.Join(dir, "entry.log")); err == nil {
				t.Logf("last lines of the entry's log:\n%s", log[max(0, len(log)-4000):])
			}
		}
	})
	s.ordinary("at the start")
	s.sampled.Go(s.sample)
	return s
}

// declarations are the operators' declarations.
func declarations() any {
	return map[string]any{"name": "config", "value": map[string]any{
		"version": 1,
		"routes": []any{map[string]any{"name": "q-" + queue, "host": host, "prefix": "/" + queue + "/", "service": queue, "timeout_ms": 3000,
			"max_attempts": 3, "stretch": 2, "completion_target_ms": 1000}},
		"services": []any{map[string]any{"name": queue, "admission_check": true}},
		"tenants":  []any{map[string]any{"name": "team", "api_keys": []string{key}, "weight": 50}},
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
func (s *system) await(what string, f func() error) {
	s.t.Helper()
	var err error
	for range answerTries {
		if err = f(); err == nil {
			return
		}
		time.Sleep(answerPause)
	}
	s.t.Fatalf("%s: %v", what, err)
}

func (s *system) path() string { return fmt.Sprintf("/%s/%016x", queue, s.nextID.Add(1)) }

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
		resident, unread := s.status("VmRSS:"), s.unread()
		s.peakKB = max(s.peakKB, resident+unread, s.status("VmHWM:"))
		s.unreadKB = max(s.unreadKB, unread)
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
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.entry.Process.Pid))
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

// unread returns the bytes that the entry's machine has received and the process has not
// read, in KB. They count toward the memory of the machine.
func (s *system) unread() int64 {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		s.t.Errorf("bytes that are received and unread: %v", err)
		return 0
	}
	ports := map[string]bool{}
	for _, address := range []string{s.callers, s.readiness, s.internal} {
		_, port, _ := strings.Cut(address, ":")
		n, _ := strconv.Atoi(port) // freeAddress has written it
		ports[fmt.Sprintf("%04X", n)] = true
	}
	var total int64
	for line := range strings.Lines(string(b)) {
		fields := strings.Fields(line)
		if len(fields) <= procRxQueue || fields[3] != "01" && fields[3] != "08" { // established, or closed by the peer
			continue
		}
		if _, port, _ := strings.Cut(fields[procLocal], ":"); ports[port] {
			_, queued, _ := strings.Cut(fields[procRxQueue], ":")
			n, err := strconv.ParseInt(queued, 16, 64)
			if err == nil {
				total += n
			}
		}
	}
	return total / bytesPerKB
}

func (s *system) descriptors() (sockets, all int64) {
	dir := fmt.Sprintf("/proc/%d/fd", s.entry.Process.Pid)
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
	s.t.Logf("peak of memory %d KB of %d, unread at most %d KB, %d sockets of %d, %d descriptors of %d",
		s.peakKB, memoryMB*bytesPerMB/bytesPerKB, s.unreadKB, s.sockets, maxFDs-fileFDs, s.fds, maxFDs)
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
