package measure

// lane holds the waiting jobs of one queue, class and team in order of arrival.
type lane struct {
	queue, class, team int
	jobs               []*job
	head               int
}

func (l *lane) len() int    { return len(l.jobs) - l.head }
func (l *lane) first() *job { return l.jobs[l.head] }
func (l *lane) push(j *job) { l.jobs = append(l.jobs, j) }

func (l *lane) pop() *job {
	j := l.jobs[l.head]
	l.jobs[l.head] = nil
	l.head++
	if l.head > 1024 && l.head*2 > len(l.jobs) {
		l.jobs = append([]*job(nil), l.jobs[l.head:]...)
		l.head = 0
	}
	return j
}

// pushFront puts a checkpointed or lost job back in front of its lane.
func (l *lane) pushFront(j *job) {
	if l.head > 0 {
		l.head--
		l.jobs[l.head] = j
		return
	}
	l.jobs = append([]*job{j}, l.jobs...)
}

// order chooses the next lane of a pool to start a job from. Lanes without jobs
// and of teams at their limit are not offered.
type order interface {
	better(a, b *lane, w *world) bool
}

// fairOrder starts the more urgent class first, and within a class the team
// that is farthest below its share.
type fairOrder struct{}

func (fairOrder) better(a, b *lane, w *world) bool {
	if a.class != b.class {
		return a.class < b.class
	}
	ra, rb := w.ofShare(a.team), w.ofShare(b.team)
	if ra != rb {
		return ra < rb
	}
	return a.first().arrived < b.first().arrived
}

// arrivalOrder starts jobs first come, first served.
type arrivalOrder struct{}

func (arrivalOrder) better(a, b *lane, _ *world) bool {
	return a.first().arrived < b.first().arrived
}

// next returns the lane to start from in a pool, nil when none can start.
func (w *world) next(pool int) *lane {
	var best *lane
	for _, l := range w.lanes[pool] {
		if l.len() == 0 || w.running[l.team] >= w.s.Teams[l.team].Limit {
			continue
		}
		if best == nil || w.p.order.better(l, best, w) {
			best = l
		}
	}
	return best
}

func (w *world) ofShare(team int) float64 {
	return float64(w.running[team]) / float64(max(1, w.s.Teams[team].Share))
}
