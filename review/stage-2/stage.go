// Command stage-2 plays the cases of the second review: it starts entries of amaranthfork
// as processes, with stand-ins of the platform, its workers and consumers on loopback
// addresses, and judges what workers and consumers see.
package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record is what was sent, answered and run.
type record struct {
	began time.Time
	mu    sync.Mutex
	out   *os.File
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// fail records that the case cannot run, and ends it.
func (r *record) fail(format string, args ...any) {
	r.add("NOT RUN: "+format, args...)
	fmt.Printf("not run: "+format+"\n", args...)
	endEntries()
	os.Exit(exitNotRun)
}

// stage is the installation of a case.
type stage struct {
	*record
	store   *tableStore
	fleet   *fleet
	trouble bool
	dir     string // temporary folder
	entries []*entry
	host    string
	advisor string // address; empty if there is none
	version int
	next    atomic.Int64 // counts requests, to spread them over the entries
}

type entry struct {
	frontend, readiness string
	settings            string
	cmd                 *exec.Cmd
}

var started struct {
	sync.Mutex
	processes []*exec.Cmd
}

// endEntries ends the processes that this one has started.
func endEntries() {
	started.Lock()
	defer started.Unlock()
	for _, cmd := range started.processes {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill() // fails only if the process has ended
		_ = cmd.Wait()
	}
	started.processes = nil
}

var ports struct {
	sync.Mutex
	next int
}

// Ports are below those that the kernel gives to outgoing connections, which could take one
// before its process listens.
const (
	firstPort = 20000
	portCount = 12000
)

// freeAddress returns an address on the loopback interface that is not in use.
func freeAddress() string {
	ports.Lock()
	defer ports.Unlock()
	if ports.next == 0 {
		ports.next = os.Getpid() * 131
	}
	for range 1000 {
		ports.next++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+ports.next%portCount)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	fmt.Println("not run: no free port")
	endEntries()
	os.Exit(exitNotRun)
	return ""
}

// listen returns a listener on a free address.
func listen(r *record) (string, net.Listener) {
	for range 20 {
		address := freeAddress()
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l
		}
	}
	r.fail("no free port")
	return "", nil
}

func serve(r *record, handler http.Handler) string {
	address, l := listen(r)
	go func() { _ = http.Serve(silencer{l}, handler) }()
	return address
}

// silencer gives out connections that can go silent.
type silencer struct{ net.Listener }

func (l silencer) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newSilentConn(c), nil
}

// silentConn is a connection that may go silent for good, without a reset.
type silentConn struct {
	net.Conn
	silent chan struct{}
}

var openConns struct {
	sync.Mutex
	list []*silentConn
}

func newSilentConn(c net.Conn) net.Conn {
	s := &silentConn{c, make(chan struct{})}
	openConns.Lock()
	openConns.list = append(openConns.list, s)
	openConns.Unlock()
	return s
}

// silenceAll makes all open connections to the platform and to workers go silent.
func silenceAll() int {
	openConns.Lock()
	defer openConns.Unlock()
	n := len(openConns.list)
	for _, c := range openConns.list {
		close(c.silent)
	}
	openConns.list = nil
	return n
}

func (c *silentConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

func (c *silentConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isSilent() {
		select {} // nothing arrives any more
	}
	return n, err
}

func (c *silentConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// newStage starts the platform's stand-ins.
func newStage(folder, temporary string) *stage {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println("not run:", err)
		os.Exit(exitNotRun)
	}
	r := &record{began: time.Now(), out: out}
	s := &stage{record: r, trouble: os.Getenv("TROUBLE") != "0", dir: temporary, host: "review.example"}
	s.store = newTableStore()
	s.fleet = newFleet(s.store, r)
	return s
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// startEntries starts n entries with the command of the deploy file, and waits until all
// are ready.
func (s *stage) startEntries(n int) {
	storeAddress, cloudAddress := serve(s.record, s.store.handler()), serve(s.record, s.fleet.cloud())
	zoneNames := map[string]string{}
	for _, z := range zones {
		zoneNames[z] = "region"
	}
	for i := range n {
		frontend, readiness, control, internal := freeAddress(), freeAddress(), freeAddress(), freeAddress()
		_, port, _ := net.SplitHostPort(internal)
		var internalPort int
		fmt.Sscan(port, &internalPort)
		settings := map[string]any{
			"node_name": fmt.Sprintf("edge-%d", i+1), "role": "entry", "machine_class": "edge", "serves": []string{"edge"}, "ip": "127.0.0.1",
			"zone": zones[i%len(zones)], "region": "region", "zones": zoneNames,
			"listen":         map[string]string{"frontend": frontend, "readiness": readiness, "control": control},
			"internal_ports": []int{internalPort, internalPort}, "seeds": []string{control}, "bootstrap": true, "in_tolerance": false,
			"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
			"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "places", "platform", "advice", "upkeep", "sharing"},
			"fault_tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
			"bounds": map[string]any{"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "strict_revoke": true, "revoke_ms": 5000,
				"evacuate_ms": 5000, "recovery_s": 12, "hold_max_ms": maxHold.Milliseconds(), "stop_grace_ms": 900, "gang_wait_ms": gangWait.Milliseconds(), "cancel_ms": 3000,
				"visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "checkpoint_interval_s": checkpointInterval.Seconds(), "restore_ms": restoreTime.Milliseconds(),
				"notice_ms": 4500, "migrate_s": migrateTime.Seconds(), "maintenance_s": upkeepTime.Seconds(), "require_fencing": false, "lease_ms": 3000, "thaw_ms": 300, "pace_ms": 100, "impact_ms": 4000},
			"orders": "call", "advice": s.advisor,
			"platform": map[string]any{"address": storeAddress, "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "tx_ms": 5.0, "partition_writes_s": 200,
				"row_bytes": maxRowBytes, "cross_zone": false, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0},
			"cloud": map[string]any{"address": cloudAddress, "rate_per_s": 64.0, "duties": []string{}, "duty_per_s": 64.0},
		}
		path := filepath.Join(s.dir, fmt.Sprintf("edge-%d.json", i+1))
		b, err := json.MarshalIndent(settings, "", "  ")
		if err == nil {
			err = os.WriteFile(path, b, 0o644)
		}
		if err != nil {
			s.fail("%v", err)
		}
		e := &entry{frontend: frontend, readiness: readiness, settings: path}
		s.entries = append(s.entries, e)
		s.startEntry(e, fmt.Sprintf("edge-%d.log", i+1))
	}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if s.allReady() {
			return
		}
		if time.Now().After(deadline) {
			s.fail("entries are not ready")
		}
	}
}

func (s *stage) startEntry(e *entry, logName string) {
	log, err := os.OpenFile(filepath.Join(s.dir, logName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		s.fail("%v", err)
	}
	defer log.Close()
	e.cmd = exec.Command("target/amaranthd", "platform")
	e.cmd.Env = append(os.Environ(), "AMARANTHFORK_SETTINGS="+e.settings)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		s.fail("%v", err)
	}
	started.Lock()
	started.processes = append(started.processes, e.cmd)
	started.Unlock()
	s.add("entry %s starts, process %d", filepath.Base(e.settings), e.cmd.Process.Pid)
}

func (s *stage) allReady() bool {
	for _, e := range s.entries {
		resp, err := http.Get("http://" + e.readiness + "/v1/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// route and tenant are parts of a manifest.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Type        string  `json:"route_type"`
	TimeoutMS   int     `json:"timeout_ms"`
	TargetMS    int     `json:"completion_target_ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max_attempts"`
	Stretch     float64 `json:"stretch"`
	Public      bool    `json:"public"`
	Advice      *advice `json:"advice,omitempty"`
}

// advice are the durations of the advisor of a queue.
type advice struct {
	DecisionMS int `json:"decision_ms"`
	PeriodMS   int `json:"period_ms"`
	ValidityMS int `json:"validity_ms"`
}

type tenant struct {
	Name     string    `json:"name"`
	Keys     []string  `json:"api_keys"`
	Priority int       `json:"priority"`
	Weight   int       `json:"weight"`
	Cap      resources `json:"cap"`
}

// putManifest writes a new version of the manifest, as the operator does.
func (s *stage) putManifest(routes []route, services []string, tenants []tenant) {
	s.version += 3
	for i := range routes {
		routes[i].Host, routes[i].Type, routes[i].TimeoutMS = s.host, "non_idempotent", 3000
	}
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
			"cold_start_s": 0.0, "cold_per_s": 0.0, "admission_check": true, "standby": false})
	}
	s.store.put("op", "config", map[string]any{"version": s.version, "routes": routes, "services": list, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	s.add("manifest %d is acknowledged: tenants %+v", s.version, tenants)
}

func newID() string {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return hex.EncodeToString(b[:])
}

// call sends a consumer's request to the next entry and returns status and body; status 0
// means that there was no answer.
func (s *stage) call(method, path, key string, body any) (int, string) {
	var reader io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(b)
	}
	e := s.entries[int(s.next.Add(1))%len(s.entries)]
	req, err := http.NewRequest(method, "http://"+e.frontend+path, reader)
	if err != nil {
		panic(err)
	}
	req.Host = s.host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	if key != "" {
		req.Header.Set("X-Key", key)
	}
	client := http.Client{Timeout: 3 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

// submit hands a job in, and repeats that as a consumer does until it is accepted.
func (s *stage) submit(prefix, key string, steps ...step) *job {
	j := &job{id: newID(), prefix: prefix, key: key, steps: steps}
	s.fleet.addJob(j)
	s.handIn(j)
	return j
}

func (s *stage) handIn(j *job) {
	for range 5 {
		body := map[string]any{"task_spec": "work of " + j.id, "steps": j.steps}
		if j.repetitions > 0 {
			body["repetitions"], body["first_run_ms"], body["interval_ms"] = j.repetitions, j.firstRunMS, j.intervalMS
		}
		status, text := s.call(http.MethodPost, j.prefix+j.id, j.key, body)
		s.add("POST %s%s -> %d %s", j.prefix, j.id, status, text)
		j.statuses = append(j.statuses, status)
		if status/100 == 2 {
			j.acceptedAt = time.Now()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// state asks for a job's state; it is empty if there is no answer with a state.
func (s *stage) state(j *job) string {
	status, body := s.call(http.MethodGet, j.prefix+j.id, j.key, nil)
	var answer struct{ State string }
	if status == http.StatusOK {
		_ = json.Unmarshal([]byte(body), &answer) // an unreadable answer has no state
	}
	s.add("GET %s%s -> %d %s", j.prefix, j.id, status, body)
	return answer.State
}

// await asks for a job's state until it is one of those wanted, at most for limit.
func (s *stage) await(j *job, limit time.Duration, wanted ...string) string {
	for deadline := time.Now().Add(limit); ; time.Sleep(250 * time.Millisecond) {
		state := s.state(j)
		for _, w := range wanted {
			if state == w {
				return state
			}
		}
		if time.Now().After(deadline) {
			return state
		}
	}
}

// need ends the case as not run unless a condition of its set-up holds.
func (s *stage) need(ok bool, format string, args ...any) {
	if !ok {
		s.fail("set-up: "+format, args...)
	}
}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: stage-2 CASE FOLDER TEMPORARY-FOLDER")
		os.Exit(exitNotRun)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Println("not run: no such case")
		os.Exit(exitNotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		endEntries()
		os.Exit(exitNotRun)
	}()
	time.AfterFunc(110*time.Second, func() {
		fmt.Println("not run: the case takes too long")
		endEntries()
		os.Exit(exitNotRun)
	})
	s := newStage(os.Args[2], os.Args[3])
	broken := play(s)
	endEntries()
	if broken != "" {
		s.add("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		os.Exit(exitBroken)
	}
	s.add("held")
	fmt.Println("held")
	os.Exit(exitHeld)
}
