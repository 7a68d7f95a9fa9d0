// Package catalog holds one version of the configuration: the declared queues, pools
// and workspaces. It matches requests to queues and keys to workspaces.
package catalog

import (
	"sort"
	"strings"
	"time"

	"amaranthfork.example/fleet"
)

// Queue is a declared queue.
type Queue struct {
	Name        string
	Host        string // of its requests
	Prefix      string // path prefix of its requests
	Pool        string
	Timeout     time.Duration // bound of the handling of a request
	Target      time.Duration // a job's objective is Stretch times its longest chain of work plus Target
	Stretch     float64       // a factor below 1 counts as 1; see Target
	Priority    int           // 0 comes first
	MaxAttempts int           // failed runs of a task after which its job fails; 0 means no bound
	Open        bool          // requests need no key
	Advice      *Advice       // nil if every VM of the pool may run the queue's steps
}

// Advice describes the calls to an advisor, which decides which VMs may run a step.
type Advice struct {
	CallTime  time.Duration // duration of one call
	TimePerVM time.Duration // additional duration for each VM in the call
	Validity  time.Duration // of a ticket
}

// TicketMargin is the least remaining validity of a ticket with which a start is sent. It
// covers the write of the record and the call to the VM.
const TicketMargin = 150 * time.Millisecond

// CallDuration returns the time that the advisor takes for a call about a number of VMs.
func (a *Advice) CallDuration(vms int) time.Duration {
	return a.CallTime + time.Duration(vms)*a.TimePerVM
}

// Pool is a declared pool.
type Pool struct {
	Name             string
	ChecksAdmission  bool // its workers refuse tasks that do not fit
	Standby          bool // its VMs are switched off and cost nothing
	MaxConns         int
	HealthPath       string
	ColdStart        time.Duration
	ColdRequestsPerS float64
}

// Workspace is a declared workspace.
type Workspace struct {
	Name   string
	Weight float64         // its share when a pool is full, in jobs per second; 0 means no bound
	Cap    fleet.Resources // upper limit of running resources over all pools; zero means no cap
	Keys   []string        // keys that authorize its requests
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	Version    int64
	Queues     map[string]*Queue     // by name
	Pools      map[string]*Pool      // by name
	Workspaces map[string]*Workspace // by name
	Limits     Limits

	byHost map[string][]*Queue // longest prefix first
	byKey  map[string]*Workspace
}

// New returns a catalog of the given declarations.
func New(version int64, queues []*Queue, pools []*Pool, workspaces []*Workspace, limits Limits) *Catalog {
	c := &Catalog{
		Version:    version,
		Queues:     make(map[string]*Queue, len(queues)),
		Pools:      make(map[string]*Pool, len(pools)),
		Workspaces: make(map[string]*Workspace, len(workspaces)),
		Limits:     limits,
		byHost:     map[string][]*Queue{},
		byKey:      map[string]*Workspace{},
	}
	for _, q := range queues {
		c.Queues[q.Name] = q
		host := strings.ToLower(q.Host)
		c.byHost[host] = append(c.byHost[host], q)
	}
	for _, list := range c.byHost {
		sort.Slice(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for _, p := range pools {
		c.Pools[p.Name] = p
	}
	for _, w := range workspaces {
		c.Workspaces[w.Name] = w
		for _, key := range w.Keys {
			c.byKey[key] = w
		}
	}
	return c
}

// Match returns the queue with the longest prefix that matches a request, and the
// rest of the path after that prefix. The queue is nil if none matches. The host
// may have a port.
func (c *Catalog) Match(host, path string) (*Queue, string) {
	host = strings.ToLower(host)
	list, ok := c.byHost[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			list = c.byHost[host[:i]]
		}
	}
	for _, q := range list {
		if strings.HasPrefix(path, q.Prefix) {
			return q, path[len(q.Prefix):]
		}
	}
	return nil, ""
}

// Authorize returns the workspace of a key, or nil if the key is not valid.
func (c *Catalog) Authorize(key string) *Workspace {
	if key == "" {
		return nil
	}
	return c.byKey[key]
}

// PoolNames returns the sorted names of all pools.
func (c *Catalog) PoolNames() []string {
	names := make([]string, 0, len(c.Pools))
	for name := range c.Pools {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
