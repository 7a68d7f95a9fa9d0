package pool

import "time"

// shareBurst is the period whose share of jobs a workspace may submit in one burst:
// callers submit in bursts of about a second.
const shareBurst = time.Second

// tokenBucket limits the jobs of a workspace that count as within its share. It
// refills at the workspace's weight, in jobs per second.
type tokenBucket struct {
	tokens     float64 // jobs
	refilledAt time.Duration
}

// exceedsShare reports whether a new job exceeds the rate of jobs that its
// workspace's weight grants, and otherwise takes a token for it. Jobs beyond the
// share wait behind others when the pool is full.
func (p *Pool) exceedsShare(workspace string) bool {
	if p.catalog.Catalog == nil {
		return false
	}
	w := p.catalog.Workspaces[workspace]
	if w == nil || w.Weight <= 0 {
		return false
	}
	capacity := max(1, w.Weight*shareBurst.Seconds())
	bucket := p.jobShares[workspace]
	if bucket == nil {
		bucket = &tokenBucket{tokens: capacity, refilledAt: p.now.Steady}
		p.jobShares[workspace] = bucket
	}
	bucket.tokens = min(capacity, bucket.tokens+w.Weight*(p.now.Steady-bucket.refilledAt).Seconds())
	bucket.refilledAt = p.now.Steady
	if bucket.tokens < 1 {
		return true
	}
	bucket.tokens--
	return false
}
