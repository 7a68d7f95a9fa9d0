package soak

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// child is a process of a soak. It is started again whenever it ends, until the soak
// ends.
type child struct {
	name    string
	command func() *exec.Cmd
	line    func(line []byte) // called for each line of its output; may be nil
	logPath string
	onEnd   func(expected bool, err error) // called when a process ends; may be nil

	mu          sync.Mutex
	cmd         *exec.Cmd
	input       io.Closer // open as long as the soak runs
	output      io.Reader
	signalled   bool // the soak has ended the present process
	restartHold time.Duration
	closed      bool
	ended       chan struct{} // closed when no process runs any more after close
}

func newChild(dir, name string, command func() *exec.Cmd) *child {
	return &child{name: name, command: command, logPath: filepath.Join(dir, name+".log"), ended: make(chan struct{})}
}

// restartPause is the time between the end of a process and the start of the next, unless
// a fault sets another.
const restartPause = 300 * time.Millisecond

// start starts the process and keeps it running.
func (c *child) start() error {
	log, err := os.OpenFile(c.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	if err := c.startOnce(log); err != nil {
		return err
	}
	go c.supervise(log)
	return nil
}

// startOnce starts one process. Its output is nil if it goes to the log.
func (c *child) startOnce(log *os.File) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	cmd := c.command()
	cmd.Stderr = log
	cmd.Stdout = log
	c.output = nil
	if c.line != nil {
		cmd.Stdout = nil
		output, err := cmd.StdoutPipe()
		if err != nil {
			return err
		}
		c.output = output
	}
	input, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", c.name, err)
	}
	c.cmd, c.input, c.signalled = cmd, input, false
	return nil
}

// awaitEnd reads the output of the present process and waits for its end.
func (c *child) awaitEnd() error {
	c.mu.Lock()
	cmd, output := c.cmd, c.output
	c.mu.Unlock()
	if output != nil {
		lines := bufio.NewScanner(output)
		lines.Buffer(nil, maxLine)
		for lines.Scan() {
			c.line(lines.Bytes())
		}
	}
	return cmd.Wait()
}

// maxLine bounds a line of a process's output, in bytes.
const maxLine = 1 << 20

func (c *child) supervise(log *os.File) {
	defer close(c.ended)
	defer log.Close()
	for {
		err := c.awaitEnd()
		c.mu.Lock()
		closed, signalled, hold := c.closed, c.signalled, c.restartHold
		c.restartHold = 0
		c.mu.Unlock()
		if c.onEnd != nil {
			c.onEnd(closed || signalled, err)
		}
		if closed {
			return
		}
		if hold == 0 {
			hold = restartPause
		}
		time.Sleep(hold)
		if err := c.startOnce(log); err != nil {
			c.onEnd(false, err)
			return
		}
	}
}

// signal sends a signal to the process. If ends is true, its end is expected, and the
// next one starts after hold, or after restartPause if hold is 0.
func (c *child) signal(s syscall.Signal, ends bool, hold time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd == nil || c.cmd.Process == nil || c.closed {
		return
	}
	if ends {
		c.signalled, c.restartHold = true, hold
	}
	_ = c.cmd.Process.Signal(s) // fails only if the process has ended
}

// close ends the process for good and waits for its end.
func (c *child) close() {
	c.mu.Lock()
	c.closed = true
	if c.cmd != nil && c.cmd.Process != nil {
		_ = c.cmd.Process.Signal(syscall.SIGCONT)
		_ = c.cmd.Process.Kill() // fails only if the process has ended
	}
	c.mu.Unlock()
	<-c.ended
}
