package admission

import (
	"container/heap"
	"time"

	"amaranthfork.example/fleet"
)

// Default bounds: the slot time of more urgent starts, in multiples of a waiting
// job's own run time, after which a class that waits gets one start. They keep
// batch work going at about a twentieth of the slots under a lasting urgent
// load. One start in twenty gave tasks that run 6 times longer 23% of the slots.
const (
	defaultStandardBound = 8
	defaultBatchBound    = 20
)

// Item is a waiting job.
type Item struct {
	ID        fleet.JobID
	Team      fleet.TeamName
	Class     fleet.Class
	Deadline  time.Time     // zero means none
	Submitted time.Time     // orders jobs with the same deadline
	RunTime   time.Duration // estimated, of one step; zero counts as unknownRunTime
}

// unknownRunTime stands for a run time that is not known.
const unknownRunTime = time.Second

// slotTime is the time for which the job will hold a slot.
func (i Item) slotTime() time.Duration {
	if i.RunTime <= 0 {
		return unknownRunTime
	}
	return i.RunTime
}

// Settings of a Queue. Zero fields take defaults.
type Settings struct {
	StandardBound int // slot time of urgent starts, in run times of a waiting standard job, after which it starts
	BatchBound    int // the same of all more urgent starts for a waiting batch job
}

// Fair tells what teams are entitled to and what they have.
type Fair struct {
	Share   func(fleet.TeamName) int  // thousandths
	Running func(fleet.TeamName) int  // tasks
	Skip    func(fleet.TeamName) bool // teams that cannot start now; may be nil
}

// Queue orders the waiting jobs of one pool: by class, then by the team that is
// furthest below its share, then by deadline and arrival. Removal marks the
// job; marked jobs are dropped when they reach the front or outnumber the
// others. It is not safe for concurrent use.
type Queue struct {
	classes [classCount]classQueue
	nodes   map[fleet.JobID]*node
}

const classCount = 3

type classQueue struct {
	teams  map[fleet.TeamName]*teamQueue
	size   int
	passed time.Duration // slot time of more urgent starts since the last start of this class
	bound  int
}

type teamQueue struct {
	team fleet.TeamName
	heap nodeHeap
	live int
}

type node struct {
	item Item
	dead bool
}

// NewQueue returns an empty queue.
func NewQueue(s Settings) *Queue {
	if s.StandardBound <= 0 {
		s.StandardBound = defaultStandardBound
	}
	if s.BatchBound <= 0 {
		s.BatchBound = defaultBatchBound
	}
	q := &Queue{nodes: map[fleet.JobID]*node{}}
	for i := range q.classes {
		q.classes[i].teams = map[fleet.TeamName]*teamQueue{}
	}
	q.classes[1].bound = s.StandardBound
	q.classes[2].bound = s.BatchBound
	return q
}

// classIndex returns the rank of a class; classes that are not known wait
// behind all others.
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

// Push adds a job. A job that already waits stays where it is.
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
	team.live++
	heap.Push(&team.heap, n)
}

// Remove takes a job out and reports whether it waited.
func (q *Queue) Remove(id fleet.JobID) bool {
	n, ok := q.nodes[id]
	if !ok {
		return false
	}
	delete(q.nodes, id)
	n.dead = true
	class := &q.classes[classIndex(n.item.Class)]
	class.size--
	team := class.teams[n.item.Team]
	team.live--
	if team.live == 0 {
		delete(class.teams, team.team)
	} else if len(team.heap) > 2*team.live+16 {
		team.compact()
	}
	return true
}

// Next takes out the job that starts next, and returns false when no job of a
// team that is not skipped waits.
func (q *Queue) Next(f Fair) (Item, bool) {
	var best [classCount]*teamQueue
	for i := range q.classes {
		best[i] = q.classes[i].furthestBelow(f)
	}
	chosen := q.chooseClass(best)
	if chosen < 0 {
		return Item{}, false
	}
	item := best[chosen].head().item
	q.countPassed(chosen, item.slotTime(), best)
	q.Remove(item.ID)
	return item, true
}

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

// overdue reports whether enough slot time has gone to more urgent work for the
// class to get one start.
func (c *classQueue) overdue(head Item) bool {
	return c.passed >= time.Duration(c.bound)*head.slotTime()
}

func (q *Queue) countPassed(chosen int, slotTime time.Duration, best [classCount]*teamQueue) {
	q.classes[chosen].passed = 0
	for i := chosen + 1; i < classCount; i++ {
		if best[i] != nil {
			q.classes[i].passed += slotTime
		}
	}
}

// Expired takes out and returns the jobs whose deadline is not after now.
func (q *Queue) Expired(now time.Time) []Item {
	var expired []Item
	for i := range q.classes {
		for _, team := range q.classes[i].teams {
			for team.live > 0 {
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

// Drain takes out and returns all jobs, in no order.
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

// Ahead returns the waiting jobs of the same or a more urgent class, of the
// team and of all teams.
func (q *Queue) Ahead(team fleet.TeamName, class fleet.Class) (ofTeam, ofAll int) {
	for i := 0; i <= classIndex(class); i++ {
		ofAll += q.classes[i].size
		if t := q.classes[i].teams[team]; t != nil {
			ofTeam += t.live
		}
	}
	return ofTeam, ofAll
}

// Portion returns the part of the starts that a team gets while all teams that
// wait in the same or a more urgent class compete, 0 to 1.
func (q *Queue) Portion(team fleet.TeamName, class fleet.Class, share func(fleet.TeamName) int) float64 {
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

// Waiting calls fn with the number of waiting jobs of each team.
func (q *Queue) Waiting(fn func(team fleet.TeamName, queued int)) {
	for i := range q.classes {
		for name, team := range q.classes[i].teams {
			fn(name, team.live)
		}
	}
}

func (c *classQueue) furthestBelow(f Fair) *teamQueue {
	var best *teamQueue
	bestScore := 0.0
	for _, team := range c.teams {
		if f.Skip != nil && f.Skip(team.team) {
			continue
		}
		score := float64(f.Running(team.team)+1) / float64(max(f.Share(team.team), 1))
		if best == nil || score < bestScore || score == bestScore && team.before(best) {
			best, bestScore = team, score
		}
	}
	return best
}

// before orders teams that are equally far from their share by their first
// jobs, which makes the order independent of the map's.
func (t *teamQueue) before(o *teamQueue) bool { return less(t.head(), o.head()) }

// head returns the first job that was not removed; the queue must have one.
func (t *teamQueue) head() *node {
	for t.heap[0].dead {
		heap.Pop(&t.heap)
	}
	return t.heap[0]
}

func (t *teamQueue) compact() {
	live := make(nodeHeap, 0, t.live)
	for _, n := range t.heap {
		if !n.dead {
			live = append(live, n)
		}
	}
	heap.Init(&live)
	t.heap = live
}

type nodeHeap []*node

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
