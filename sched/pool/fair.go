package pool

import "time"

// shareBurst is the time over which a workspace may use its share of jobs at
// once; callers come in bursts of about a second.
const shareBurst = time.Second

// share is what is left of a workspace's share of jobs.
type share struct {
	left float64 // jobs
	at   time.Duration
}

// overShare reports whether a new job is beyond the jobs a second that its
// workspace's weight stands for. Such jobs wait behind others when the pool is
// full.
func (p *Pool) overShare(workspace string) bool {
	if p.catalog.Catalog == nil {
		return false
	}
	w := p.catalog.Workspaces[workspace]
	if w == nil || w.Weight <= 0 {
		return false
	}
	most := max(1, w.Weight*shareBurst.Seconds())
	s := p.shares[workspace]
	if s == nil {
		s = &share{left: most, at: p.now.Steady}
		p.shares[workspace] = s
	}
	s.left = min(most, s.left+w.Weight*(p.now.Steady-s.at).Seconds())
	s.at = p.now.Steady
	if s.left < 1 {
		return true
	}
	s.left--
	return false
}
