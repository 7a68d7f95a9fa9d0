package entry

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"time"

	"amaranthfork.example/fleet"
)

// Settings are the process settings of an entry. Every one is a flag and an
// environment variable.
type Settings struct {
	DataCentre    fleet.DataCentreName
	VM            string // id of the entry VM in the platform's VM list
	APIAddress    string // host:port to listen on for callers and operators
	PeerAddress   string // host:port to listen on for other entries
	AdvertisePeer string // host:port under which other entries reach PeerAddress; empty means PeerAddress
	PlatformURL   string
	PeerSecret    string
	OperatorToken string
	TLSCert       string // PEM files; all empty means no TLS
	TLSKey        string
	TLSCA         string
	DrainDelay    time.Duration // from unready to closed listeners, for the load balancer
	StopTimeout   time.Duration // for running requests after the drain delay
	Shards        int           // job shards of the fleet; the same on every entry
}

// DefaultSettings returns the settings that apply where none are given.
func DefaultSettings() Settings {
	return Settings{
		APIAddress:  "127.0.0.1:7400",
		PeerAddress: "127.0.0.1:7401",
		DrainDelay:  5 * time.Second,
		StopTimeout: 60 * time.Second,
		Shards:      64,
	}
}

const (
	minPeerSecret = 16 // bytes
	maxShards     = 4096
)

// Check returns every fault of the settings, joined.
func (s Settings) Check() error {
	var faults []error
	fail := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	fail(s.DataCentre != "", "data-centre: is missing")
	fail(s.VM != "", "vm: is missing")
	for _, a := range []struct{ name, value string }{
		{"api-address", s.APIAddress}, {"peer-address", s.PeerAddress},
	} {
		_, _, err := net.SplitHostPort(a.value)
		fail(err == nil, "%s: %q is not host:port", a.name, a.value)
	}
	if s.AdvertisePeer != "" {
		_, _, err := net.SplitHostPort(s.AdvertisePeer)
		fail(err == nil, "advertise-peer: %q is not host:port", s.AdvertisePeer)
	}
	u, err := url.Parse(s.PlatformURL)
	fail(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "",
		"platform-url: %q is not an http or https URL", s.PlatformURL)
	fail(len(s.PeerSecret) >= minPeerSecret, "peer-secret: needs at least %d bytes, has %d", minPeerSecret, len(s.PeerSecret))
	fail(s.OperatorToken != "", "operator-token: is missing")
	some := s.TLSCert != "" || s.TLSKey != "" || s.TLSCA != ""
	all := s.TLSCert != "" && s.TLSKey != "" && s.TLSCA != ""
	fail(some == all, "tls-cert, tls-key and tls-ca: give all three or none")
	fail(s.DrainDelay >= 0 && s.DrainDelay <= 10*time.Minute, "drain-delay: %s is not from 0s to 10m", s.DrainDelay)
	fail(s.StopTimeout > 0 && s.StopTimeout <= time.Hour, "stop-timeout: %s is not above 0s and up to 1h", s.StopTimeout)
	fail(s.Shards > 0 && s.Shards <= maxShards, "shards: %d is not from 1 to %d", s.Shards, maxShards)
	return errors.Join(faults...)
}
