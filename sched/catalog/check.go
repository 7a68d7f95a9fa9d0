package catalog

import (
	"fmt"
	"strings"
	"time"
)

// Declarations are the objects of one version of the configuration as an operator wrote
// them, in their order. Names may be missing or stand twice.
type Declarations struct {
	Version    int64
	Queues     []*Queue
	Pools      []*Pool
	Workspaces []*Workspace
	Limits     Limits
}

// Catalog returns the catalog of the declarations.
func (d *Declarations) Catalog() *Catalog {
	return New(d.Version, d.Queues, d.Pools, d.Workspaces, d.Limits)
}

// Kind is a kind of declared objects.
type Kind string

// Kinds of objects.
const (
	KindConfiguration Kind = "configuration" // the declarations as a whole
	KindQueue         Kind = "queue"
	KindPool          Kind = "pool"
	KindWorkspace     Kind = "workspace"
	KindLimits        Kind = "limits"
)

// Field is a declared field of an object.
type Field string

// Fields that problems name.
const (
	FieldVersion       Field = "version"
	FieldName          Field = "name"
	FieldHost          Field = "host"
	FieldPrefix        Field = "prefix"
	FieldPool          Field = "pool"
	FieldTimeout       Field = "timeout"
	FieldTarget        Field = "target"
	FieldStretch       Field = "stretch"
	FieldPriority      Field = "priority"
	FieldMaxAttempts   Field = "max attempts"
	FieldAdvice        Field = "advice"
	FieldKeys          Field = "keys"
	FieldWeight        Field = "weight"
	FieldCap           Field = "cap"
	FieldHeaderBytes   Field = "header bytes"
	FieldBodyBytes     Field = "body bytes"
	FieldHeaderTimeout Field = "header timeout"
	FieldIdleTimeout   Field = "idle timeout"
)

// Place is where a problem is: a field of an object, or the object as a whole.
type Place struct {
	Kind  Kind
	Index int   // position among the objects of the kind, from 0
	Field Field // empty for the object as a whole
}

// Problem is something that an operator should look at before declarations are sent.
type Problem struct {
	Place   Place
	Error   bool // a fault; otherwise a declaration that has no effect, or contradicts another
	Message string
}

// Check returns the problems of the declarations: faults, declarations that can never match
// a request, and limits that contradict each other. They are in the order of the objects.
func Check(d *Declarations) []Problem {
	c := &checker{declarations: d, pools: map[string]*Pool{}}
	c.checkPools()
	c.checkQueues()
	c.checkWorkspaces()
	c.checkLimits()
	return c.problems
}

// checker collects problems.
type checker struct {
	declarations *Declarations
	pools        map[string]*Pool // by name
	problems     []Problem
}

func (c *checker) fault(at Place, format string, args ...any) {
	c.problems = append(c.problems, Problem{at, true, fmt.Sprintf(format, args...)})
}

func (c *checker) warn(at Place, format string, args ...any) {
	c.problems = append(c.problems, Problem{at, false, fmt.Sprintf(format, args...)})
}

// field returns the place of another field of the same object.
func (p Place) field(f Field) Place {
	p.Field = f
	return p
}

// checkName reports a missing name, and one that an earlier object of the kind has.
func (c *checker) checkName(at Place, name string, seen map[string]int) {
	if first, known := seen[name]; name == "" {
		c.fault(at.field(FieldName), "%s %d has no name", at.Kind, at.Index)
	} else if known {
		c.fault(at.field(FieldName), "%s %s is declared twice: the one at position %d has no effect", at.Kind, name, first)
	}
	seen[name] = at.Index
}

// notNegative reports a duration below zero.
func (c *checker) notNegative(at Place, f Field, d time.Duration) {
	if d < 0 {
		c.fault(at.field(f), "%s is negative: %s", f, d)
	}
}

func (c *checker) checkPools() {
	used := map[string]bool{}
	for _, q := range c.declarations.Queues {
		used[q.Pool] = true
	}
	seen := map[string]int{}
	for i, p := range c.declarations.Pools {
		at := Place{Kind: KindPool, Index: i}
		c.checkName(at, p.Name, seen)
		c.pools[p.Name] = p
		switch {
		case p.Standby && used[p.Name]:
			c.fault(at, "queues of standby pool %s can never run: its VMs are switched off", p.Name)
		case !p.Standby && !used[p.Name]:
			c.warn(at, "no queue uses pool %s", p.Name)
		}
	}
	if len(c.declarations.Pools) == 0 {
		c.fault(Place{Kind: KindConfiguration}, "no pool is declared")
	}
}

func (c *checker) checkQueues() {
	names, addresses := map[string]int{}, map[string]int{}
	for i, q := range c.declarations.Queues {
		at := Place{Kind: KindQueue, Index: i}
		c.checkName(at, q.Name, names)
		c.checkAddress(at, q, addresses)
		if c.pools[q.Pool] == nil {
			c.fault(at.field(FieldPool), "queue %s uses pool %q, which is not declared", q.Name, q.Pool)
		}
		c.checkTerms(at, q)
	}
	if len(c.declarations.Queues) == 0 {
		c.warn(Place{Kind: KindConfiguration}, "no queue is declared: all requests are answered with not found")
	}
}

// checkAddress reports a host and a path prefix that no request can match, or that an
// earlier queue has.
func (c *checker) checkAddress(at Place, q *Queue, seen map[string]int) {
	switch {
	case q.Host == "":
		c.warn(at.field(FieldHost), "queue %s can never match: it has no host", q.Name)
	case strings.ContainsAny(q.Host, "/ \t"):
		c.warn(at.field(FieldHost), "queue %s can never match: %q is not the name of a host", q.Name, q.Host)
	}
	switch {
	case !strings.HasPrefix(q.Prefix, "/"):
		c.warn(at.field(FieldPrefix), "queue %s can never match: its prefix %q does not begin with a slash", q.Name, q.Prefix)
	case strings.ContainsAny(q.Prefix, "?#"):
		c.warn(at.field(FieldPrefix), "queue %s can never match: its prefix %q has a character that ends a path", q.Name, q.Prefix)
	}
	address := strings.ToLower(q.Host) + q.Prefix
	if first, known := seen[address]; known {
		c.fault(at.field(FieldPrefix), "queues %s and %s have the same host and prefix: only one of them matches", c.declarations.Queues[first].Name, q.Name)
		return
	}
	seen[address] = at.Index
}

// checkTerms reports what a queue promises to its jobs and cannot mean.
func (c *checker) checkTerms(at Place, q *Queue) {
	c.notNegative(at, FieldTimeout, q.Timeout)
	c.notNegative(at, FieldTarget, q.Target)
	if q.Stretch < 0 {
		c.fault(at.field(FieldStretch), "stretch of queue %s is negative", q.Name)
	} else if q.Stretch > 0 && q.Stretch < 1 {
		c.warn(at.field(FieldStretch), "stretch %g of queue %s counts as 1: a job cannot be shorter than its work", q.Stretch, q.Name)
	}
	if q.Priority < 0 {
		c.warn(at.field(FieldPriority), "priority %d of queue %s counts as 0", q.Priority, q.Name)
	}
	if q.MaxAttempts < 0 {
		c.fault(at.field(FieldMaxAttempts), "max attempts of queue %s is negative", q.Name)
	}
	a := q.Advice
	if a == nil {
		return
	}
	if min(a.CallTime, a.TimePerVM, a.Validity) < 0 {
		c.fault(at.field(FieldAdvice), "a time in the advice of queue %s is negative", q.Name)
	} else if a.Validity <= a.CallDuration(1)+TicketMargin {
		c.warn(at.field(FieldAdvice), "queue %s can never start a task: its tickets are valid for %s, a call for one VM takes %s and a start %s", q.Name, a.Validity, a.CallDuration(1), TicketMargin)
	}
}

func (c *checker) checkWorkspaces() {
	names, keys := map[string]int{}, map[string]string{}
	open := true
	for _, q := range c.declarations.Queues {
		open = open && q.Open
	}
	for i, w := range c.declarations.Workspaces {
		at := Place{Kind: KindWorkspace, Index: i}
		c.checkName(at, w.Name, names)
		if len(w.Keys) == 0 && !open {
			c.warn(at.field(FieldKeys), "workspace %s can never match: it has no key", w.Name)
		}
		for _, key := range w.Keys {
			switch owner, known := keys[key]; {
			case key == "":
				c.fault(at.field(FieldKeys), "workspace %s has an empty key, which never authorizes a request", w.Name)
			case known && owner == w.Name:
				c.warn(at.field(FieldKeys), "workspace %s has a key twice", w.Name)
			case known:
				c.fault(at.field(FieldKeys), "workspaces %s and %s have the same key: it authorizes only the latter", owner, w.Name)
			}
			keys[key] = w.Name
		}
		if w.Weight < 0 {
			c.fault(at.field(FieldWeight), "weight of workspace %s is negative", w.Name)
		}
		c.checkCap(at, w)
	}
	if len(keys) == 0 && !open {
		c.warn(Place{Kind: KindConfiguration}, "no key is declared: all requests of queues that need one are refused")
	}
}

// checkCap reports a cap that is negative, or allows less than one core.
func (c *checker) checkCap(at Place, w *Workspace) {
	if min(w.Cap.MilliCPU, w.Cap.MemoryMB, w.Cap.Accelerators) < 0 {
		c.fault(at.field(FieldCap), "cap of workspace %s is negative", w.Name)
		return
	}
	if w.Cap.MilliCPU > 0 && w.Cap.MilliCPU < 1000 {
		c.warn(at.field(FieldCap), "cap of workspace %s is %d thousandths of a core: tasks that ask for a core can never run", w.Name, w.Cap.MilliCPU)
	}
}

// maxPayloadBytes is the largest payload of a job.
const maxPayloadBytes = 4000

func (c *checker) checkLimits() {
	l, at := c.declarations.Limits, Place{Kind: KindLimits}
	if l.HeaderBytes < 0 {
		c.fault(at.field(FieldHeaderBytes), "header bytes is negative")
	}
	if l.BodyBytes < 0 {
		c.fault(at.field(FieldBodyBytes), "body bytes is negative")
	}
	c.notNegative(at, FieldHeaderTimeout, l.HeaderTimeout)
	c.notNegative(at, FieldIdleTimeout, l.IdleTimeout)
	if l.BodyBytes > 0 && l.BodyBytes < maxPayloadBytes {
		c.warn(at.field(FieldBodyBytes), "a body of %d bytes cannot hold the largest payload of a job, %d bytes", l.BodyBytes, maxPayloadBytes)
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.warn(at.field(FieldHeaderTimeout), "a connection is closed after %s without a request, before the %s for a header have passed", l.IdleTimeout, l.HeaderTimeout)
	}
}
