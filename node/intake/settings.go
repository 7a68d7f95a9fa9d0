package intake

import (
	"fmt"
	"time"

	"go.uber.org/zap"
)

// Settings are the limits of an entry on its clients. A count or size of 0 stands for what
// Derive computes from the VM.
type Settings struct {
	Connections     int           // of callers
	PortConnections int           // of the readiness port, and of the internal port
	RequestMemoryMB int64         // of callers' requests that are received or answered
	HeaderBytes     int           // of a request's header
	HeaderTimeout   time.Duration // until a request's header is complete
	StallTimeout    time.Duration // without a byte of an incomplete body
	BodyTimeout     time.Duration // until a body is complete
	AnswerTimeout   time.Duration // until the client takes a part of an answer
	IdleTimeout     time.Duration // of an unused connection
	Grace           time.Duration // see Limits
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		HeaderBytes: 64 << 10, HeaderTimeout: 10 * time.Second, StallTimeout: 10 * time.Second, BodyTimeout: time.Minute,
		AnswerTimeout: 10 * time.Second, IdleTimeout: time.Minute, Grace: 500 * time.Millisecond,
	}
}

// Parts of a VM that clients may hold.
const (
	requestMemory = 1. / 8 // for callers' requests
	// memoryPerConnection is the memory of the VM for each connection of a caller, in bytes. The
	// connection takes connectionBytes of it at most: its state, what is received and unread, what
	// is answered and not taken, a short header once it is decoded, and a small request.
	memoryPerConnection = 512 << 10
	connectionBytes     = 24<<10 + 64<<10 + 2*sendBuffer + 20*shortHeader + smallRequest
	// smallRequest is what a request with a body of one segment is charged, in bytes.
	smallRequest    = answerFactor * segmentBytes
	callerSockets   = 0.5 // the others are for links to the table service and to VMs, and for the other ports
	portSockets     = 1. / 16
	minConnections  = 8
	maxPort         = 64  // connections of the readiness port and the internal port
	fileDescriptors = 200 // of a process's descriptors, for files
	defaultMemoryMB = 184 // where the settings of the VM give none
	defaultMaxFDs   = 4100
	portBytes       = 1 << 20 // of requests on the readiness port and the internal port
	portHeaderBytes = 16 << 10
)

// Derive returns the settings with the defaults that depend on the memory of the VM in MB and
// on the descriptors of the process; 0 for what is not known.
func (s Settings) Derive(memoryMB, maxFDs int64) Settings {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	if maxFDs <= 0 {
		maxFDs = defaultMaxFDs
	}
	memory, sockets := float64(memoryMB<<20), float64(maxFDs-fileDescriptors)
	if s.Connections == 0 {
		s.Connections = max(minConnections, int(min(callerSockets*sockets, memory/memoryPerConnection)))
	}
	if s.PortConnections == 0 {
		s.PortConnections = max(minConnections, min(maxPort, int(portSockets*sockets)))
	}
	if s.RequestMemoryMB == 0 {
		s.RequestMemoryMB = max(1, int64(requestMemory*float64(memoryMB)))
	}
	return s
}

// Check returns an error if a setting is out of range.
func (s Settings) Check() error {
	if s.Connections < 0 || s.PortConnections < 0 || s.RequestMemoryMB < 0 || s.HeaderBytes <= 0 {
		return fmt.Errorf("clients: negative limit, or no bytes for headers")
	}
	if s.HeaderTimeout <= 0 || s.StallTimeout <= 0 || s.BodyTimeout <= 0 || s.AnswerTimeout <= 0 || s.IdleTimeout <= 0 || s.Grace <= 0 {
		return fmt.Errorf("clients: a time limit is not positive")
	}
	return nil
}

// Callers returns the limits of the port of callers. The settings are derived.
func (s Settings) Callers() Limits {
	return Limits{Connections: s.Connections, Bytes: s.RequestMemoryMB << 20, Reserved: smallRequest, Grace: s.Grace}
}

// Port returns the settings and the limits of another port, whose requests have no bodies.
func (s Settings) Port() (Settings, Limits) {
	s.HeaderBytes = portHeaderBytes
	return s, Limits{Connections: s.PortConnections, Bytes: portBytes, Grace: s.Grace}
}

// Fields returns the settings as fields of a log line.
func (s Settings) Fields() []zap.Field {
	return []zap.Field{
		zap.Int("connections", s.Connections), zap.Int("port_connections", s.PortConnections), zap.Int64("request_memory_mb", s.RequestMemoryMB),
		zap.Int("header_bytes", s.HeaderBytes), zap.Duration("header_timeout", s.HeaderTimeout), zap.Duration("stall_timeout", s.StallTimeout),
		zap.Duration("body_timeout", s.BodyTimeout), zap.Duration("answer_timeout", s.AnswerTimeout), zap.Duration("idle_timeout", s.IdleTimeout),
		zap.Duration("grace", s.Grace),
	}
}
