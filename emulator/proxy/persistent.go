package proxy

import (
	"net"
	"sync/atomic"
	"time"
)

// redialPause is the pause between attempts to reach a target that does not listen.
const redialPause = 5 * time.Millisecond

// persistentLink is a connection of a client that outlasts those to the target.
type persistentLink struct {
	p      *Proxy
	client *net.TCPConn
	silent atomic.Bool // no answers any more, after the first one that was discarded
	server *net.TCPConn
	ended  chan struct{} // closed when server has ended; nil without a server
}

func (p *Proxy) forwardPersistent(client *net.TCPConn) {
	defer p.end(client)
	if p.currentMode().Refuse {
		_ = client.SetLinger(0)
		return
	}
	p.track(client)
	l := &persistentLink{p: p, client: client}
	l.copyToward()
	if l.server == nil {
		return
	}
	_ = l.server.CloseWrite() // fails only if the target has ended
	select {
	case <-l.ended:
	case <-time.After(halfCloseTimeout):
	}
	p.end(l.server)
}

func (p *Proxy) track(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

// copyToward forwards data until the client closes.
func (l *persistentLink) copyToward() {
	buffer := make([]byte, 32<<10)
	dropped := false
	for {
		n, err := l.client.Read(buffer)
		if n > 0 {
			l.p.mu.Lock()
			m, late := l.p.mode, l.p.late
			l.p.mu.Unlock()
			dropped = dropped || m.DropToward
			if late != nil && !dropped {
				time.Sleep(late(buffer[:n]))
			}
			time.Sleep(m.Delay)
			if !dropped && !l.send(buffer[:n]) {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// send sends data to the process that listens at the target now, or next.
func (l *persistentLink) send(data []byte) bool {
	for until := time.Now().Add(dialTimeout); time.Now().Before(until); time.Sleep(redialPause) {
		if !l.connect() {
			continue
		}
		if _, err := l.server.Write(data); err == nil {
			return true
		}
		<-l.ended
	}
	return false
}

// connect opens a connection to the target unless there is one.
func (l *persistentLink) connect() bool {
	if l.server != nil {
		select {
		case <-l.ended:
		default:
			return true
		}
	}
	conn, err := net.DialTimeout("tcp", l.p.target, dialTimeout)
	if err != nil {
		return false
	}
	server, ended := conn.(*net.TCPConn), make(chan struct{})
	l.p.track(server)
	l.server, l.ended = server, ended
	go func() {
		defer close(ended)
		defer l.p.end(server)
		l.copyBack(server)
	}()
	return true
}

// copyBack forwards answers until the target's process ends.
func (l *persistentLink) copyBack(server *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := server.Read(buffer)
		if n > 0 {
			m := l.p.currentMode()
			time.Sleep(m.Delay)
			if m.DropBack {
				l.silent.Store(true)
			}
			if !l.silent.Load() {
				_, _ = l.client.Write(buffer[:n]) // a client that has gone is seen by copyToward
			}
		}
		if err != nil {
			return
		}
	}
}
