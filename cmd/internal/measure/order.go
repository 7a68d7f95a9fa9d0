package measure

import (
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/admission"
)

// backlog holds the waiting jobs of all pools and decides their order.
type backlog interface {
	push(pool int, j *job)
	// next removes and returns the job that a pool starts next. It returns nil
	// if no job of a team below its limit waits.
	next(pool int) *job
}

// newFairBacklog returns a backlog with the order of policy/admission: by
// class, then by the team that is farthest below its share.
func newFairBacklog(sim *simulation) backlog {
	b := &fairBacklog{jobs: make(map[fleet.JobID]*job), teamIndex: make(map[fleet.TeamName]int)}
	for range sim.scenario.Pools {
		b.queues = append(b.queues, admission.NewQueue(admission.Settings{}))
	}
	for i, t := range sim.scenario.Teams {
		b.teamIndex[t.Name] = i
	}
	b.teams = sim.scenario.Teams
	b.runTime = func(queue, class int) time.Duration { return sim.estimates.runTime(queue, class) }
	b.fair = admission.TeamState{
		Share:   func(t fleet.TeamName) int { return sim.scenario.Teams[b.teamIndex[t]].ShareThousandths },
		Running: func(t fleet.TeamName) int { return sim.runningByTeam[b.teamIndex[t]] },
		Skip:    func(t fleet.TeamName) bool { return sim.atLimit(b.teamIndex[t]) },
	}
	return b
}

type fairBacklog struct {
	queues    []*admission.Queue
	jobs      map[fleet.JobID]*job
	teamIndex map[fleet.TeamName]int
	teams     []fleet.Team
	fair      admission.TeamState
	// runTime estimates the run time of a job of a queue and class.
	runTime func(queue, class int) time.Duration
}

func (b *fairBacklog) push(pool int, j *job) {
	b.jobs[j.id] = j
	b.queues[pool].Push(admission.Item{
		ID: j.id, Team: b.teams[j.team].Name, Class: classes[j.class].name, Submitted: timeAt(j.arrivedTick),
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

// newArrivalBacklog returns a backlog that starts jobs in the order of their
// arrival, whatever their class and team.
func newArrivalBacklog(sim *simulation) backlog {
	b := &arrivalBacklog{sim: sim, waiting: make([][][]*job, len(sim.scenario.Pools))}
	for p := range b.waiting {
		b.waiting[p] = make([][]*job, len(sim.scenario.Teams))
	}
	return b
}

type arrivalBacklog struct {
	sim     *simulation
	waiting [][][]*job // by pool and team, in order of arrival
}

// push adds a job at the end, or at the front if it arrived before the last
// one: it then was interrupted, or found no VM and is put back.
func (b *arrivalBacklog) push(pool int, j *job) {
	waiting := &b.waiting[pool][j.team]
	if n := len(*waiting); n > 0 && j.arrivedTick < (*waiting)[n-1].arrivedTick {
		*waiting = append([]*job{j}, *waiting...)
		return
	}
	*waiting = append(*waiting, j)
}

func (b *arrivalBacklog) next(pool int) *job {
	best := -1
	for t, waiting := range b.waiting[pool] {
		if len(waiting) == 0 || b.sim.atLimit(t) {
			continue
		}
		if best < 0 || waiting[0].arrivedTick < b.waiting[pool][best][0].arrivedTick {
			best = t
		}
	}
	if best < 0 {
		return nil
	}
	j := b.waiting[pool][best][0]
	b.waiting[pool][best] = b.waiting[pool][best][1:]
	return j
}

func (sim *simulation) atLimit(team int) bool {
	return sim.runningByTeam[team] >= sim.scenario.Teams[team].Limit
}
