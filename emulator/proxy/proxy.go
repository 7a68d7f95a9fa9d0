// Package proxy forwards TCP connections on the loopback interface and disturbs them.
package proxy

import (
	"net"
	"sync"
	"time"
)

// Mode is how a proxy treats its connections.
type Mode struct {
	Delay      time.Duration // of each chunk of data, in both directions
	DropToward bool          // data towards the target is discarded: the connections go silent one way
	DropBack   bool          // data from the target is discarded
	Refuse     bool          // new connections are reset
}

// Proxy forwards connections to one target.
type Proxy struct {
	listener net.Listener
	target   string

	mu         sync.Mutex
	mode       Mode
	conns      map[*net.TCPConn]struct{}
	persistent bool
	late       func(data []byte) time.Duration // nil for no extra delay
}

// Listen starts a proxy to a target (host:port) on a free port.
func Listen(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: map[*net.TCPConn]struct{}{}}
	go p.accept()
	return p, nil
}

// Address returns the address (host:port) of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes how new data and connections are treated.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// Persist lets new connections of clients outlast those to the target: a client does not
// see that the target has ended, and what it sends then goes to the next process there.
func (p *Proxy) Persist() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.persistent = true
}

// SetLate sets a delay of each chunk of data from persistent connections, nil for none.
// Data on its way is delivered whatever the mode is when its delay ends.
func (p *Proxy) SetLate(late func(data []byte) time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.late = late
}

// Reset resets all connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0) // a reset instead of a normal close
		_ = c.Close()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		persistent := p.persistent
		p.mu.Unlock()
		if persistent {
			go p.forwardPersistent(conn.(*net.TCPConn))
			continue
		}
		go p.forward(conn.(*net.TCPConn))
	}
}

// dialTimeout bounds the opening of a connection to the target.
const dialTimeout = 2 * time.Second

func (p *Proxy) forward(client *net.TCPConn) {
	defer p.end(client)
	if p.currentMode().Refuse {
		_ = client.SetLinger(0)
		return
	}
	conn, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		_ = client.SetLinger(0)
		return
	}
	server := conn.(*net.TCPConn)
	defer p.end(server)
	p.mu.Lock()
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.copy(server, client, true); done <- struct{}{} }()
	go func() { p.copy(client, server, false); done <- struct{}{} }()
	<-done
	// The other direction may still deliver an answer to a half-closed connection.
	select {
	case <-done:
	case <-time.After(halfCloseTimeout):
	}
}

// halfCloseTimeout is how long one direction stays open after the other has ended.
const halfCloseTimeout = 5 * time.Second

func (p *Proxy) end(c *net.TCPConn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// copy forwards data until one side closes. After the first discarded data the
// direction stays silent, as no connection delivers data with a gap.
func (p *Proxy) copy(to, from *net.TCPConn, toward bool) {
	buffer := make([]byte, 32<<10)
	silent := false
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			m := p.currentMode()
			time.Sleep(m.Delay)
			silent = silent || toward && m.DropToward || !toward && m.DropBack
			if !silent {
				if _, werr := to.Write(buffer[:n]); werr != nil {
					return
				}
			}
		}
		if err != nil {
			if !silent {
				_ = to.CloseWrite()
			}
			return
		}
	}
}
