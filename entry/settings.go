package entry

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/node/intake"
)

// Settings are the process settings of an entry. Each can be set by a flag and by an
// environment variable.
type Settings struct {
	DataCentre            fleet.DataCentreName
	VM                    string // id of the entry VM in the platform's VM list
	APIAddress            string // host:port to listen on for callers and operators
	PeerAddress           string // host:port to listen on for other entries
	AdvertisedPeerAddress string // host:port under which other entries reach PeerAddress; empty means PeerAddress
	PlatformURL           string // http or https
	PeerSecret            string // shared by all entries, at least 16 bytes
	OperatorToken         string // bearer token of operators
	TLSCert               string // PEM file, as are TLSKey and TLSCA; all three empty means no TLS
	TLSKey                string
	TLSCA                 string
	DrainDelay            time.Duration   // from the failing readiness check to closed listeners, for the load balancer
	StopTimeout           time.Duration   // for running requests after the drain delay
	Clients               intake.Settings // limits on callers and operators
	MemoryMB              int64           // memory of this VM, for these limits; 0 if it is not known
	MaxFDs                int64           // descriptors of this process, for these limits; 0 if it is not known
	Shards                int             // job shards of the fleet; must be the same on all entries
}

// DefaultSettings returns the default settings. Those without a default are empty and
// have to be set.
func DefaultSettings() Settings {
	clients := intake.DefaultSettings()
	clients.IdleTimeout = idleTimeout
	return Settings{
		Clients:     clients,
		APIAddress:  "127.0.0.1:7400",
		PeerAddress: "127.0.0.1:7401",
		DrainDelay:  5 * time.Second,
		StopTimeout: 60 * time.Second,
		Shards:      64,
	}
}

const (
	minPeerSecretBytes = 16
	maxShards          = 4096
)

// Check returns all problems of the settings, joined.
func (s Settings) Check() error {
	var errs []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	require(s.DataCentre != "", "data-centre: is missing")
	require(s.VM != "", "vm: is missing")
	for _, a := range []struct{ name, value string }{
		{"api-address", s.APIAddress}, {"peer-address", s.PeerAddress},
	} {
		_, _, err := net.SplitHostPort(a.value)
		require(err == nil, "%s: %q is not host:port", a.name, a.value)
	}
	if s.AdvertisedPeerAddress != "" {
		_, _, err := net.SplitHostPort(s.AdvertisedPeerAddress)
		require(err == nil, "advertise-peer: %q is not host:port", s.AdvertisedPeerAddress)
	}
	u, err := url.Parse(s.PlatformURL)
	require(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "",
		"platform-url: %q is not an http or https URL", s.PlatformURL)
	require(len(s.PeerSecret) >= minPeerSecretBytes, "peer-secret: needs at least %d bytes, has %d", minPeerSecretBytes, len(s.PeerSecret))
	require(s.OperatorToken != "", "operator-token: is missing")
	some := s.TLSCert != "" || s.TLSKey != "" || s.TLSCA != ""
	all := s.TLSCert != "" && s.TLSKey != "" && s.TLSCA != ""
	require(some == all, "tls-cert, tls-key and tls-ca: give all three or none")
	require(s.DrainDelay >= 0 && s.DrainDelay <= 10*time.Minute, "drain-delay: %s is not from 0s to 10m", s.DrainDelay)
	require(s.StopTimeout > 0 && s.StopTimeout <= time.Hour, "stop-timeout: %s is not above 0s and up to 1h", s.StopTimeout)
	require(s.Shards > 0 && s.Shards <= maxShards, "shards: %d is not from 1 to %d", s.Shards, maxShards)
	require(s.MemoryMB >= 0 && s.MaxFDs >= 0, "memory-mb, max-fds: must not be negative")
	return errors.Join(append(errs, s.Clients.Check())...)
}
