package entry

import (
	"context"
	"crypto/tls"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/backing"
	"amaranthfork.example/backing/memory"
	"amaranthfork.example/entry/certs"
	"amaranthfork.example/fleet"
)

const tlsTimeout = 20 * time.Second

// TestTLSOnAllListeners guards against listeners without TLS although certificates are
// set, peer links that do not open over TLS, and certificates that are replaced only
// at a restart.
func TestTLSOnAllListeners(t *testing.T) {
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	if err := certs.WriteSelfSigned(cert, key, time.Now()); err != nil {
		t.Fatal(err)
	}
	p := memory.New(memory.Options{})
	ctx, stop := context.WithCancel(context.Background())
	var entries []*Entry
	done := make(chan error, 2)
	for _, vm := range []string{"entry-1", "entry-2"} {
		e := newTLSEntry(t, p, vm, cert, key)
		entries = append(entries, e)
		go func() { done <- e.Run(ctx) }()
	}
	waitFor(t, "peer links over TLS", func() bool {
		for _, e := range entries {
			if plane := e.plane.Load(); plane == nil || len(plane.node.Connected()) != 1 {
				return false
			}
		}
		return true
	})
	first := serial(t, entries[0].APIAddress(), cert)
	if err := certs.WriteSelfSigned(cert, key, time.Now()); err != nil {
		t.Fatal(err)
	}
	if err := entries[0].Reload(); err != nil {
		t.Fatal(err)
	}
	if second := serial(t, entries[0].APIAddress(), cert); second == first {
		t.Errorf("certificate %s is still served after the reload", first)
	}
	stop()
	for range entries {
		if err := <-done; err != nil {
			t.Errorf("planned stop: %v", err)
		}
	}
}

func newTLSEntry(t *testing.T, p *memory.Platform, vm, cert, key string) *Entry {
	t.Helper()
	s := DefaultSettings()
	s.DataCentre, s.VM = "dc-a", vm
	s.APIAddress, s.PeerAddress = "127.0.0.1:0", "127.0.0.1:0"
	s.PlatformURL, s.PeerSecret, s.OperatorToken = "http://unused.invalid", "0123456789abcdef", "token"
	s.TLSCert, s.TLSKey, s.TLSCA = cert, key, cert
	s.DrainDelay = 0
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	p.SetEntry(backing.EntryVM{ID: vm, DataCentre: "dc-a", State: fleet.VMLive})
	node := p.Node()
	e, err := New(Options{
		Settings: s, Clock: fleet.SystemClock{}, Log: zap.NewNop(),
		Platform: Platform{Table: node.Table, Objects: node.Objects, VMFeed: node.VMList, Workers: node.Workers, VMs: node.VMs},
	})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// serial returns the serial number of the certificate that a listener presents to a
// client that trusts only the certificate in the file ca.
func serial(t *testing.T, address, ca string) string {
	t.Helper()
	config, err := certs.ClientConfig(ca)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := tls.Dial("tcp", address, config)
	if err != nil {
		t.Fatalf("dial %s over TLS: %v", address, err)
	}
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.String()
}

func waitFor(t *testing.T, what string, ready func() bool) {
	t.Helper()
	deadline := time.Now().Add(tlsTimeout)
	for !ready() {
		if time.Now().After(deadline) {
			t.Fatalf("no %s within %s", what, tlsTimeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
