package jobs

import (
	"time"

	"amaranthfork.example/fleet"
)

// LoadKey identifies the work of one team and class in one pool.
type LoadKey struct {
	Pool  fleet.PoolName `cbor:"1,keyasint"`
	Team  fleet.TeamName `cbor:"2,keyasint"`
	Class fleet.Class    `cbor:"3,keyasint"`
}

// Load is the work of one kind in the shards of one entry.
type Load struct {
	LoadKey
	Running int           `cbor:"4,keyasint"`
	Queued  int           `cbor:"5,keyasint"`
	RunTime time.Duration `cbor:"6,keyasint"` // mean of the estimated run times of one step
	Arrived uint64        `cbor:"7,keyasint"` // jobs accepted since the start of this session
}

// Load sums up the work in the shards of this entry, in no particular order.
func (m *Manager) Load() []Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	sums := map[LoadKey]*Load{}
	for key, n := range m.accepted {
		sums[key] = &Load{LoadKey: key, Arrived: n}
	}
	for _, s := range m.shards {
		for _, e := range s.jobs {
			m.addLoad(sums, e)
		}
	}
	list := make([]Load, 0, len(sums))
	for _, l := range sums {
		if n := l.Running + l.Queued; n > 0 {
			l.RunTime /= time.Duration(n)
		}
		list = append(list, *l)
	}
	return list
}

func (m *Manager) addLoad(sums map[LoadKey]*Load, e *jobEntry) {
	if e.phase == phaseEnded || e.phase == phaseSubmitting {
		return
	}
	key := m.loadKey(e)
	l, ok := sums[key]
	if !ok {
		l = &Load{LoadKey: key}
		sums[key] = l
	}
	_, runTime := m.options.Estimate(&e.job)
	l.RunTime += runTime
	if e.phase == phaseQueued || e.phase == phaseDelayed {
		l.Queued++
	} else {
		l.Running++
	}
}

// loadKey returns the key of a job's work. Its pool is the one that the job's
// queue has in the current configuration.
func (m *Manager) loadKey(e *jobEntry) LoadKey {
	pool := e.pool
	if snapshot := m.options.View.Snapshot(); snapshot != nil {
		if q, ok := snapshot.Queues[e.job.Queue]; ok {
			pool = q.Pool
		}
	}
	return LoadKey{Pool: pool, Team: e.job.Team, Class: e.job.Class}
}
