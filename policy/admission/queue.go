package admission

import (
	"container/heap"
	"time"

	"amaranthfork.example/fleet"
)

// A class that waits behind more urgent classes gets one start as soon as the
// starts of those classes have taken the slot time of this many runs of its own
// next job. Under a lasting urgent load, batch work thus gets about a twentieth
// of the slot time. Slot time is counted rather than starts: with one start in
// twenty, batch tasks that run 6 times longer than the others got 23% of the
// slots.
const (
	defaultStandardBoundRuns = 8
	defaultBatchBoundRuns    = 20
)

// Item is a waiting job.
type Item struct {
	ID        fleet.JobID
	Team      fleet.TeamName
	Class     fleet.Class
	Deadline  time.Time     // zero means none
	Submitted time.Time     // earlier jobs go first among those with the same deadline
	RunTime   time.Duration // estimated, of one step; zero counts as assumedRunTime
}

// assumedRunTime is used for jobs whose run time is unknown.
const assumedRunTime = time.Second

// slotTime returns how long one step of the job is expected to hold a slot.
func (i Item) slotTime() time.Duration {
	if i.RunTime <= 0 {
		return assumedRunTime
	}
	return i.RunTime
}

// Settings are the parameters of a Queue. Fields that are not positive take defaults.
type Settings struct {
	StandardBoundRuns int // a standard job starts after urgent starts that took the slot time of this many of its own runs
	BatchBoundRuns    int // a batch job starts after urgent and standard starts that took the slot time of this many of its own runs
}

// TeamState gives the queue what fair sharing depends on: the shares of the teams and
// the tasks that they run.
type TeamState struct {
	Share   func(fleet.TeamName) int  // in thousandths of the fleet; less than 1 counts as 1
	Running func(fleet.TeamName) int  // running tasks
	Skip    func(fleet.TeamName) bool // whether the team cannot start a task now; nil means that all can
}

// Queue orders the waiting jobs of one pool: by class, then by the team that is
// furthest below its share, then by deadline and arrival. A removed job is only
// marked; it is dropped from its team's heap when it reaches the front, or when
// the removed jobs of the heap outnumber the waiting ones by more than 16. A
// Queue is not safe for concurrent use.
type Queue struct {
	classes [classCount]classQueue // most urgent first
	nodes   map[fleet.JobID]*node
}

// classCount is the number of classes in fleet.Classes.
const classCount = 3

// classQueue holds the waiting jobs of one class.
type classQueue struct {
	teams        map[fleet.TeamName]*teamQueue
	size         int           // waiting jobs of all teams
	bypassedTime time.Duration // slot time of more urgent starts since the last start of this class
	boundRuns    int           // as in Settings; 0 for the most urgent class
}

// teamQueue holds the waiting jobs of one team and class.
type teamQueue struct {
	team    fleet.TeamName
	heap    nodeHeap // with removed jobs
	waiting int      // without removed jobs
}

// node is one job in the heap of its team.
type node struct {
	item    Item
	removed bool
}

// NewQueue returns an empty queue.
func NewQueue(s Settings) *Queue {
	if s.StandardBoundRuns <= 0 {
		s.StandardBoundRuns = defaultStandardBoundRuns
	}
	if s.BatchBoundRuns <= 0 {
		s.BatchBoundRuns = defaultBatchBoundRuns
	}
	q := &Queue{nodes: map[fleet.JobID]*node{}}
	for i := range q.classes {
		q.classes[i].teams = map[fleet.TeamName]*teamQueue{}
	}
	q.classes[1].boundRuns = s.StandardBoundRuns
	q.classes[2].boundRuns = s.BatchBoundRuns
	return q
}

// classIndex returns the rank of a class, 0 for the most urgent. Unknown classes
// rank with the least urgent.
func classIndex(c fleet.Class) int {
	for i, known := range fleet.Classes {
		if c == known {
			return i
		}
	}
	return classCount - 1
}

// Len returns the number of waiting jobs.
func (q *Queue) Len() int { return len(q.nodes) }

// Push adds a job. It does nothing if a job with the same id is already waiting.
func (q *Queue) Push(item Item) {
	if _, ok := q.nodes[item.ID]; ok {
		return
	}
	n := &node{item: item}
	q.nodes[item.ID] = n
	class := &q.classes[classIndex(item.Class)]
	class.size++
	team := class.teams[item.Team]
	if team == nil {
		team = &teamQueue{team: item.Team}
		class.teams[item.Team] = team
	}
	team.waiting++
	heap.Push(&team.heap, n)
}

// Remove removes a job and reports whether it was waiting.
func (q *Queue) Remove(id fleet.JobID) bool {
	n, ok := q.nodes[id]
	if !ok {
		return false
	}
	delete(q.nodes, id)
	n.removed = true
	class := &q.classes[classIndex(n.item.Class)]
	class.size--
	team := class.teams[n.item.Team]
	team.waiting--
	if team.waiting == 0 {
		delete(class.teams, team.team)
	} else if len(team.heap) > 2*team.waiting+16 {
		team.compact()
	}
	return true
}

// Next removes and returns the job that starts next. It returns false if no job
// is waiting, apart from those of skipped teams.
func (q *Queue) Next(teams TeamState) (Item, bool) {
	var best [classCount]*teamQueue
	for i := range q.classes {
		best[i] = q.classes[i].furthestBelowShare(teams)
	}
	chosen := q.chooseClass(best)
	if chosen < 0 {
		return Item{}, false
	}
	item := best[chosen].head().item
	q.addBypassedTime(chosen, item.slotTime(), best)
	q.Remove(item.ID)
	return item, true
}

// chooseClass returns the index of the class that starts a job next, given the
// best team of each class, -1 if there is none: the least urgent class that is
// overdue, or else the most urgent class.
func (q *Queue) chooseClass(best [classCount]*teamQueue) int {
	for i := classCount - 1; i > 0; i-- {
		if best[i] != nil && q.classes[i].overdue(best[i].head().item) {
			return i
		}
	}
	for i := range best {
		if best[i] != nil {
			return i
		}
	}
	return -1
}

// overdue reports whether more urgent starts have taken enough slot time for the
// class to get one start, given its next job.
func (c *classQueue) overdue(head Item) bool {
	return c.bypassedTime >= time.Duration(c.boundRuns)*head.slotTime()
}

// addBypassedTime records that the chosen class starts a job of the given slot
// time while the less urgent classes wait.
func (q *Queue) addBypassedTime(chosen int, slotTime time.Duration, best [classCount]*teamQueue) {
	q.classes[chosen].bypassedTime = 0
	for i := chosen + 1; i < classCount; i++ {
		if best[i] != nil {
			q.classes[i].bypassedTime += slotTime
		}
	}
}

// Expired removes and returns the jobs whose deadline is not after now, in no
// particular order.
func (q *Queue) Expired(now time.Time) []Item {
	var expired []Item
	for i := range q.classes {
		for _, team := range q.classes[i].teams {
			for team.waiting > 0 {
				item := team.head().item
				if item.Deadline.IsZero() || item.Deadline.After(now) {
					break
				}
				q.Remove(item.ID)
				expired = append(expired, item)
			}
		}
	}
	return expired
}

// Drain removes and returns all jobs, in no particular order.
func (q *Queue) Drain() []Item {
	items := make([]Item, 0, len(q.nodes))
	for _, n := range q.nodes {
		items = append(items, n.item)
	}
	for _, item := range items {
		q.Remove(item.ID)
	}
	return items
}

// Ahead returns the number of waiting jobs of the same or a more urgent class,
// for the team and for all teams.
func (q *Queue) Ahead(team fleet.TeamName, class fleet.Class) (ofTeam, ofAll int) {
	for i := 0; i <= classIndex(class); i++ {
		ofAll += q.classes[i].size
		if t := q.classes[i].teams[team]; t != nil {
			ofTeam += t.waiting
		}
	}
	return ofTeam, ofAll
}

// TeamFraction returns the fraction of the starts, 0 to 1, that a team gets while it
// competes with all teams that have waiting jobs of the same or a more urgent
// class.
func (q *Queue) TeamFraction(team fleet.TeamName, class fleet.Class, share func(fleet.TeamName) int) float64 {
	own := float64(max(share(team), 1))
	sum := own
	seen := map[fleet.TeamName]bool{team: true}
	for i := 0; i <= classIndex(class); i++ {
		for name := range q.classes[i].teams {
			if !seen[name] {
				seen[name] = true
				sum += float64(max(share(name), 1))
			}
		}
	}
	return own / sum
}

// Waiting calls fn with the number of waiting jobs of each team, once for each
// class in which the team has some.
func (q *Queue) Waiting(fn func(team fleet.TeamName, queued int)) {
	for i := range q.classes {
		for name, team := range q.classes[i].teams {
			fn(name, team.waiting)
		}
	}
}

// furthestBelowShare returns the team that would have the fewest running tasks
// in relation to its share after one more start, nil if no team may start.
func (c *classQueue) furthestBelowShare(states TeamState) *teamQueue {
	var best *teamQueue
	bestScore := 0.0
	for _, team := range c.teams {
		if states.Skip != nil && states.Skip(team.team) {
			continue
		}
		score := float64(states.Running(team.team)+1) / float64(max(states.Share(team.team), 1))
		if best == nil || score < bestScore || score == bestScore && team.before(best) {
			best, bestScore = team, score
		}
	}
	return best
}

// before orders teams that are equally far below their share by their first
// jobs, so that the order does not depend on the iteration order of a map.
func (t *teamQueue) before(o *teamQueue) bool { return less(t.head(), o.head()) }

// head drops removed jobs from the front of the heap and returns the first
// waiting job. There must be one.
func (t *teamQueue) head() *node {
	for t.heap[0].removed {
		heap.Pop(&t.heap)
	}
	return t.heap[0]
}

// compact drops all removed jobs from the heap.
func (t *teamQueue) compact() {
	live := make(nodeHeap, 0, t.waiting)
	for _, n := range t.heap {
		if !n.removed {
			live = append(live, n)
		}
	}
	heap.Init(&live)
	t.heap = live
}

// nodeHeap is a heap of jobs in the order of less.
type nodeHeap []*node

// less orders jobs by deadline, those without one last, then by submission
// time, then by id.
func less(a, b *node) bool {
	switch {
	case !a.item.Deadline.Equal(b.item.Deadline):
		if a.item.Deadline.IsZero() || b.item.Deadline.IsZero() {
			return b.item.Deadline.IsZero()
		}
		return a.item.Deadline.Before(b.item.Deadline)
	case !a.item.Submitted.Equal(b.item.Submitted):
		return a.item.Submitted.Before(b.item.Submitted)
	default:
		return a.item.ID < b.item.ID
	}
}

func (h nodeHeap) Len() int           { return len(h) }
func (h nodeHeap) Less(i, j int) bool { return less(h[i], h[j]) }
func (h nodeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *nodeHeap) Push(x any) { *h = append(*h, x.(*node)) }

// Pop implements heap.Interface.
func (h *nodeHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
