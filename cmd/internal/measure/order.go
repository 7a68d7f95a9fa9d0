package measure

import (
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/admission"
)

// backlog holds the waiting jobs of all pools and chooses the next to start.
type backlog interface {
	push(pool int, j *job)
	// next takes out the job that a pool starts next, nil when none of a team
	// below its limit waits.
	next(pool int) *job
}

// newFair returns the order of policy/admission: by class, then by the team
// that is farthest below its share.
func newFair(w *world) backlog {
	b := &fairBacklog{jobs: make(map[fleet.JobID]*job), teams: make(map[fleet.TeamName]int)}
	for range w.s.Pools {
		b.queues = append(b.queues, admission.NewQueue(admission.Settings{}))
	}
	for i, t := range w.s.Teams {
		b.teams[t.Name] = i
	}
	b.names = w.s.Teams
	b.runTime = func(queue, class int) time.Duration { return w.est.runTime(queue, class) }
	b.fair = admission.Fair{
		Share:   func(t fleet.TeamName) int { return w.s.Teams[b.teams[t]].Share },
		Running: func(t fleet.TeamName) int { return w.running[b.teams[t]] },
		Skip:    func(t fleet.TeamName) bool { return w.atLimit(b.teams[t]) },
	}
	return b
}

type fairBacklog struct {
	queues []*admission.Queue
	jobs   map[fleet.JobID]*job
	teams  map[fleet.TeamName]int
	names  []fleet.Team
	fair   admission.Fair
	// runTime is the estimate for one task of a queue and class.
	runTime func(queue, class int) time.Duration
}

func (b *fairBacklog) push(pool int, j *job) {
	b.jobs[j.id] = j
	b.queues[pool].Push(admission.Item{
		ID: j.id, Team: b.names[j.team].Name, Class: classes[j.class].name, Submitted: timeOf(j.arrived),
		RunTime: b.runTime(j.queue, j.class),
	})
}

func (b *fairBacklog) next(pool int) *job {
	if b.queues[pool].Len() == 0 {
		return nil
	}
	item, ok := b.queues[pool].Next(b.fair)
	if !ok {
		return nil
	}
	j := b.jobs[item.ID]
	delete(b.jobs, item.ID)
	return j
}

// newArrival returns the order first come, first served, whatever the class
// and team.
func newArrival(w *world) backlog {
	b := &arrivalBacklog{w: w, lanes: make([][][]*job, len(w.s.Pools))}
	for p := range b.lanes {
		b.lanes[p] = make([][]*job, len(w.s.Teams))
	}
	return b
}

type arrivalBacklog struct {
	w     *world
	lanes [][][]*job // by pool and team, in order of arrival
}

func (b *arrivalBacklog) push(pool int, j *job) {
	lane := &b.lanes[pool][j.team]
	if n := len(*lane); n > 0 && j.arrived < (*lane)[n-1].arrived {
		*lane = append([]*job{j}, *lane...)
		return
	}
	*lane = append(*lane, j)
}

func (b *arrivalBacklog) next(pool int) *job {
	best := -1
	for t, lane := range b.lanes[pool] {
		if len(lane) == 0 || b.w.atLimit(t) {
			continue
		}
		if best < 0 || lane[0].arrived < b.lanes[pool][best][0].arrived {
			best = t
		}
	}
	if best < 0 {
		return nil
	}
	j := b.lanes[pool][best][0]
	b.lanes[pool][best] = b.lanes[pool][best][1:]
	return j
}

func (w *world) atLimit(team int) bool { return w.running[team] >= w.s.Teams[team].Limit }
