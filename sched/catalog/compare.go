package catalog

import (
	"strconv"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/fleet/compare"
)

// Compare returns the differences between two catalogs, ordered by kind and name. A nil
// catalog counts as empty. Versions are not compared. Keys are secrets: their number and
// that of the added and removed ones is told, not the keys.
func Compare(old, new *Catalog) []compare.Difference {
	if old == nil {
		old = &Catalog{}
	}
	if new == nil {
		new = &Catalog{}
	}
	c := &compare.Comparison{}
	compare.Objects(c, string(KindQueue), old.Queues, new.Queues, compareQueue)
	compare.Objects(c, string(KindPool), old.Pools, new.Pools, comparePool)
	compare.Objects(c, string(KindWorkspace), old.Workspaces, new.Workspaces, compareWorkspace)
	c.Select(string(KindLimits), "")
	compareLimits(c, old.Limits, new.Limits)
	return c.Differences
}

// orEmpty returns what p points to, or the empty value.
func orEmpty[T any](p *T) T {
	if p == nil {
		var empty T
		return empty
	}
	return *p
}

func number(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func compareQueue(c *compare.Comparison, oldQueue, newQueue *Queue) {
	old, new := orEmpty(oldQueue), orEmpty(newQueue)
	c.Field(string(FieldHost), old.Host, new.Host)
	c.Field(string(FieldPrefix), old.Prefix, new.Prefix)
	c.Field(string(FieldPool), old.Pool, new.Pool)
	compareDuration(c, FieldTimeout, old.Timeout, new.Timeout)
	compareDuration(c, FieldTarget, old.Target, new.Target)
	c.Field(string(FieldStretch), number(old.Stretch), number(new.Stretch))
	c.Field(string(FieldPriority), strconv.Itoa(old.Priority), strconv.Itoa(new.Priority))
	c.Field(string(FieldMaxAttempts), strconv.Itoa(old.MaxAttempts), strconv.Itoa(new.MaxAttempts))
	c.Field("open", strconv.FormatBool(old.Open), strconv.FormatBool(new.Open))
	c.Field(string(FieldAdvice), formatAdvice(old.Advice), formatAdvice(new.Advice))
}

func compareDuration(c *compare.Comparison, f Field, old, new time.Duration) {
	c.Field(string(f), old.String(), new.String())
}

// formatAdvice returns an advice as text, empty for none.
func formatAdvice(a *Advice) string {
	if a == nil {
		return ""
	}
	return a.CallTime.String() + " a call, " + a.TimePerVM.String() + " a VM, valid " + a.Validity.String()
}

func comparePool(c *compare.Comparison, oldPool, newPool *Pool) {
	old, new := orEmpty(oldPool), orEmpty(newPool)
	c.Field("checks admission", strconv.FormatBool(old.ChecksAdmission), strconv.FormatBool(new.ChecksAdmission))
	c.Field("standby", strconv.FormatBool(old.Standby), strconv.FormatBool(new.Standby))
	c.Field("connections", strconv.Itoa(old.MaxConns), strconv.Itoa(new.MaxConns))
	c.Field("health path", old.HealthPath, new.HealthPath)
	compareDuration(c, "cold start", old.ColdStart, new.ColdStart)
	c.Field("cold requests", number(old.ColdRequestsPerS), number(new.ColdRequestsPerS))
}

func compareWorkspace(c *compare.Comparison, oldWorkspace, newWorkspace *Workspace) {
	old, new := orEmpty(oldWorkspace), orEmpty(newWorkspace)
	c.Field(string(FieldWeight), number(old.Weight), number(new.Weight))
	c.Field(string(FieldCap), formatCap(old.Cap), formatCap(new.Cap))
	compare.Secrets(c, string(FieldKeys), old.Keys, new.Keys)
}

// formatCap returns a cap as text, empty for none.
func formatCap(r fleet.Resources) string {
	if r == (fleet.Resources{}) {
		return ""
	}
	return number(float64(r.MilliCPU)/1000) + " cores, " + strconv.FormatInt(r.MemoryMB, 10) + " MB, " + strconv.FormatInt(r.Accelerators, 10) + " accelerators"
}

func compareLimits(c *compare.Comparison, old, new Limits) {
	c.Field(string(FieldHeaderBytes), strconv.Itoa(old.HeaderBytes), strconv.Itoa(new.HeaderBytes))
	c.Field(string(FieldBodyBytes), strconv.FormatInt(old.BodyBytes, 10), strconv.FormatInt(new.BodyBytes, 10))
	compareDuration(c, FieldHeaderTimeout, old.HeaderTimeout, new.HeaderTimeout)
	compareDuration(c, FieldIdleTimeout, old.IdleTimeout, new.IdleTimeout)
}
