package proxy

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

// echoServer answers each line with the same line.
func echoServer(t *testing.T) string {
	t.Helper()
	l, _ := echoProcess(t, "127.0.0.1:0")
	return l.Addr().String()
}

// echoProcess is an echo server at an address. kill closes all its connections.
func echoProcess(t *testing.T, address string) (l net.Listener, kill func()) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var mu sync.Mutex
	var conns []net.Conn
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			go func() {
				for lines := bufio.NewScanner(conn); lines.Scan(); {
					fmt.Fprintln(conn, lines.Text())
				}
				_ = conn.Close()
			}()
		}
	}()
	return l, func() {
		_ = l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// Guards against restarts of a target that its clients notice by their connections, and
// against late data that is lost with the former process or in a cut.
func TestPersistentConnections(t *testing.T) {
	target, kill := echoProcess(t, "127.0.0.1:0")
	p, err := Listen(target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	p.Persist()
	conn, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := exchange(t, conn, "before"); err != nil {
		t.Fatal(err)
	}
	// Data that is sent before the proxy sees the end is lost with the former process.
	awaitTargetGone := func() {
		for open := 2; open > 1; time.Sleep(time.Millisecond) {
			p.mu.Lock()
			open = len(p.conns)
			p.mu.Unlock()
		}
	}
	kill()
	awaitTargetGone()
	fmt.Fprintln(conn, "while no process listens")
	_, killNext := echoProcess(t, target.Addr().String())
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second)) // the connection is open
	got, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil || got != "while no process listens\n" {
		t.Errorf("the next process echoes %q, %v", got, err)
	}
	onItsWay, deliver := make(chan struct{}), make(chan struct{})
	p.SetLate(func([]byte) time.Duration {
		close(onItsWay)
		<-deliver
		return 0
	})
	fmt.Fprintln(conn, "late")
	<-onItsWay
	p.SetMode(Mode{DropToward: true})
	killNext()
	awaitTargetGone()
	last, err := net.Listen("tcp", target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer last.Close()
	close(deliver)
	next, err := last.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	if got, err = bufio.NewReader(next).ReadString('\n'); err != nil || got != "late\n" {
		t.Errorf("the process after that gets %q, %v", got, err)
	}
	p.SetMode(Mode{DropToward: true, DropBack: true})
	fmt.Fprintln(next, "dropped")
	if err := exchange(t, conn, "dropped"); err == nil {
		t.Error("an answer came through a cut connection")
	}
}

// exchange sends a line and returns the error of reading its echo within 300 ms.
func exchange(t *testing.T, conn net.Conn, line string) error {
	t.Helper()
	fmt.Fprintln(conn, line)
	_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond)) // the connection is open
	got, err := bufio.NewReader(conn).ReadString('\n')
	if err == nil && got != line+"\n" {
		t.Fatalf("echo %q, want %q", got, line)
	}
	return err
}

// Guards against faults that are not injected, and against connections that deliver data
// with a gap once a fault is over.
func TestModes(t *testing.T) {
	p, err := Listen(echoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", p.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	for _, m := range []Mode{{DropToward: true}, {DropBack: true}} {
		conn := dial()
		if err := exchange(t, conn, "before"); err != nil {
			t.Fatalf("without a fault: %v", err)
		}
		p.SetMode(m)
		if err := exchange(t, conn, "lost"); err == nil {
			t.Errorf("%+v: an answer came through", m)
		}
		p.SetMode(Mode{})
		if err := exchange(t, conn, "after"); err == nil {
			t.Errorf("%+v: a silent connection delivers again", m)
		}
		if err := exchange(t, dial(), "new"); err != nil {
			t.Errorf("%+v: a new connection after the fault: %v", m, err)
		}
	}
	conn := dial()
	if err := exchange(t, conn, "before"); err != nil {
		t.Fatal(err)
	}
	p.Reset()
	if err := exchange(t, conn, "reset"); err == nil {
		t.Error("an answer came through a reset connection")
	}
	p.SetMode(Mode{Refuse: true})
	refused, err := net.Dial("tcp", p.Address())
	if err != nil {
		return // the reset can arrive before the connection is set up
	}
	defer refused.Close()
	if err := exchange(t, refused, "refused"); err == nil {
		t.Error("an answer came through a refused connection")
	}
}
