package crowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// The fleet in one process, which a newcomer starts first.
const (
	devCrowd      = 1000
	devMemoryMB   = 284     // of the process: two entries, the stand-in for the platform and eight workers
	devBodyBytes  = 1 << 20 // largest body of the product's own interface
	devStartLines = "export AMARANTH_SERVER="
)

// devFleet is a running fleet in one process.
type devFleet struct {
	t       *testing.T
	entries []string // host:port
	key     string
	entry   system // of which only the process is used
}

// startDev starts a fleet and waits until it serves.
func startDev(t *testing.T) *devFleet {
	t.Helper()
	cmd := exec.Command(filepath.Join(programs, "amaranth"), "dev")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	f := &devFleet{t: t}
	f.entry.entryPID.Store(int64(cmd.Process.Pid))
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // fails only if it has ended
		_ = cmd.Wait()         // it was killed
	})
	lines := bufio.NewScanner(out)
	for f.key == "" && lines.Scan() {
		line := lines.Text()
		if _, url, ok := strings.Cut(line, ": http://"); ok {
			f.entries = append(f.entries, url)
		}
		if strings.Contains(line, devStartLines) {
			_, f.key, _ = strings.Cut(line, "AMARANTH_KEY=")
		}
	}
	if f.key == "" || len(f.entries) == 0 {
		t.Fatalf("the fleet did not start: %v", lines.Err())
	}
	return f
}

// ordinary hands in a job at each entry.
func (f *devFleet) ordinary(when string, id int) {
	f.t.Helper()
	client := http.Client{Timeout: requestTime, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, entry := range f.entries {
		e := &environment{t: f.t}
		e.await("ordinary job "+when, func() error {
			job := fmt.Sprintf(`{"id":"job-%d","class":"urgent","steps":[{"command":"price?time=50ms"}],"declared":{"milliCPU":500,"memoryMB":256},"runTimeMS":100,"idempotent":true}`, id)
			req, err := http.NewRequest(http.MethodPost, "http://"+entry+"/v1/queues/quotes/jobs", strings.NewReader(job))
			if err != nil {
				return err
			}
			req.Header.Set("Amaranth-Key", f.key)
			resp, err := client.Do(req)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			if text, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusAccepted {
				return fmt.Errorf("status %d: %s, %v", resp.StatusCode, text, err)
			}
			return nil
		})
	}
}

// Guards against a fleet that a newcomer tries out and that ends for lack of memory: bodies of
// the largest size without their last byte, most without a key and for a queue that does not
// exist, some with a key, and requests to endpoints.
func TestDevFleet(t *testing.T) {
	full := bytes.Repeat([]byte(" "), devBodyBytes)
	for name, head := range map[string]func(f *devFleet) string{
		"no queue": func(*devFleet) string { return "POST /v1/queues/none/jobs HTTP/1.1\r\nHost: h\r\n" },
		"no key":   func(*devFleet) string { return "POST /v1/queues/quotes/jobs HTTP/1.1\r\nHost: h\r\n" },
		"with a key": func(f *devFleet) string {
			return "POST /v1/queues/quotes/jobs HTTP/1.1\r\nHost: h\r\nAmaranth-Key: " + f.key + "\r\n"
		},
		"to an endpoint": func(f *devFleet) string {
			return "POST /v1/workspaces/booking/direct/x HTTP/1.1\r\nHost: h\r\nAmaranth-Key: " + f.key + "\r\n"
		},
		"operator": func(*devFleet) string {
			return "POST /v1/config/validate HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer x\r\n"
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := startDev(t)
			f.ordinary("at the start", 1)
			var peak int64
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var all sync.WaitGroup
			sampled := make(chan struct{})
			go func() {
				defer close(sampled)
				for ctx.Err() == nil {
					peak = max(peak, f.entry.status("VmHWM:"))
					time.Sleep(samplePause)
				}
			}()
			request := head(f) + ofLength(len(full)) + "\r\n\r\n"
			for i := range devCrowd {
				all.Go(func() {
					playTaking(ctx, f.entries[i%len(f.entries)], false, func(conn net.Conn, whole bool) error {
						if _, err := io.WriteString(conn, request); err != nil {
							return err
						}
						return write(conn, full, whole)
					}, func() {}, 0)
				})
			}
			time.Sleep(holdTime)
			f.ordinary("beside the crowd", 2)
			time.Sleep(holdTime)
			cancel()
			all.Wait()
			f.ordinary("after the crowd", 3)
			<-sampled
			t.Logf("peak of memory %d KB of %d", peak, devMemoryMB*bytesPerMB/bytesPerKB)
			if peak == 0 || peak > devMemoryMB*bytesPerMB/bytesPerKB {
				t.Errorf("memory: %d KB, want at most %d", peak, devMemoryMB*bytesPerMB/bytesPerKB)
			}
		})
	}
}
