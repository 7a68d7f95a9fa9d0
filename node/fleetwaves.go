package node

import (
	"context"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"amaranthfork.example/sched/fleetplan"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

// hasOpenWave reports whether a wave is not complete.
func (f *fleetController) hasOpenWave() bool {
	view, _ := f.node.operator.Get()
	for _, w := range view.Waves {
		if s := f.waves[w.ID]; s == nil || !s.row.Complete {
			return true
		}
	}
	return false
}

// recordMaintenanceBegun records that the maintenance of a cordon's machine has
// begun.
func (f *fleetController) recordMaintenanceBegun(c fleetplan.Cordon) {
	if state := f.waves[c.Purpose.Wave]; state != nil && !slices.Contains(state.row.Done, c.Machine) {
		state.row.Done = append(state.row.Done, c.Machine)
		state.written = false
	}
}

// waveStateOf returns the state of a wave. A new wave begins at nowMS, a Unix
// time.
func (f *fleetController) waveStateOf(w Wave, nowMS int64) *waveState {
	state := f.waves[w.ID]
	if state == nil {
		state = &waveState{row: waveRow{BeganMS: nowMS}}
		f.waves[w.ID] = state
		f.log.Info("wave_seen", zap.String("wave", w.ID), zap.Int("machines", len(w.Machines)), zap.Duration("within", w.Within), zap.Int("at_once", w.MaxInMaintenance))
	}
	return state
}

// plannerWave converts a wave to the type of the planner.
func (f *fleetController) plannerWave(w Wave, state *waveState) fleetplan.Wave {
	planned := fleetplan.Wave{ID: w.ID, Machines: w.Machines, MaxInMaintenance: max(1, w.MaxInMaintenance),
		DeadlineMS: state.row.BeganMS + w.Within.Milliseconds(), Done: map[string]bool{}, InMaintenance: map[string]bool{}}
	for _, name := range state.row.Done {
		planned.Done[name] = true
	}
	for name, c := range f.cordons {
		if c.Purpose.Wave == w.ID && c.Ordered {
			planned.InMaintenance[name] = true
		}
	}
	return planned
}

// recordWaves stores the progress of the waves.
func (f *fleetController) recordWaves(txn *store.Txn, s *fleetplan.Snapshot) {
	for i := range s.Waves {
		w := &s.Waves[i]
		state := f.waves[w.ID]
		if len(w.Remaining(s.Machines)) == 0 && f.missingMachinesGone(w) && !state.row.Complete {
			state.row.Complete = true
			state.written = false
			f.log.Info("wave_complete", zap.String("wave", w.ID), zap.Int64("left_ms", w.DeadlineMS-s.NowMS))
		}
		if state.written {
			continue
		}
		value, err := cbor.Marshal(state.row)
		if err != nil {
			f.log.Error("wave_not_encoded", zap.Error(err))
			continue
		}
		txn.Puts = append(txn.Puts, store.Put{Key: tables.WaveKey(fleetPool, w.ID), Value: value})
		state.written = true
	}
}

// logWaves logs how far the open waves are.
func (f *fleetController) logWaves(s *fleetplan.Snapshot) {
	for i := range s.Waves {
		w := &s.Waves[i]
		p := fleetplan.ProgressOf(s, w)
		f.log.Info("wave_progress", zap.String("wave", w.ID), zap.Int64("left_ms", w.DeadlineMS-s.NowMS), zap.Int("remaining", p.Remaining),
			zap.Int("emptying", p.Emptying), zap.Int("in_maintenance", len(w.InMaintenance)), zap.Int("with_long_running", p.WithLongRunning), zap.Strings("for_example", p.Examples))
	}
}

// missingMachinesGone reports whether all machines of a wave that the inventory
// does not list are proved to be gone.
func (f *fleetController) missingMachinesGone(w *fleetplan.Wave) bool {
	for _, name := range w.Machines {
		if _, exists := f.machines[name]; !exists && !w.Done[name] && !f.isGone(machineUse{w.ID, name}) {
			return false
		}
	}
	return true
}

// maintenanceCount returns how many machines of a wave have been ordered into
// maintenance and have not returned.
func (f *fleetController) maintenanceCount(wave string) int {
	n := 0
	for _, c := range f.cordons {
		if c.Purpose.Wave == wave && c.Ordered {
			n++
		}
	}
	return n
}

// maxInMaintenance returns how many machines of a wave may be in maintenance at
// the same time; 0 if the wave is not declared.
func (f *fleetController) maxInMaintenance(wave string) int {
	view, _ := f.node.operator.Get()
	for _, w := range view.Waves {
		if w.ID == wave {
			return max(1, w.MaxInMaintenance)
		}
	}
	return 0
}

// publishWaves publishes the status of the waves whose published status is not
// current.
func (f *fleetController) publishWaves(ctx context.Context) {
	for id, state := range f.waves {
		put, err := f.node.rows.WaveStatus(id, state.row.Complete)
		if err != nil || !state.written || state.publishedStatus == string(put.Value) {
			continue
		}
		if f.publishWave(ctx, put) {
			state.publishedStatus = string(put.Value)
			f.log.Info("wave_status_published", zap.String("wave", id), zap.Bool("complete", state.row.Complete))
		}
	}
}

// publishWave writes a wave's status under the version of the published one, so
// that a late write does not undo a newer one. It reports whether the status is
// published.
func (f *fleetController) publishWave(ctx context.Context, put store.Put) bool {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	row, _, err := store.Get(ctx, f.node.store, put.Key)
	if err == nil && string(row.Value) == string(put.Value) {
		return true
	}
	if err == nil {
		_, err = f.node.store.Commit(ctx, store.Txn{Conditions: []store.Condition{{Key: put.Key, Version: row.Version}}, Puts: []store.Put{put}})
	}
	if err != nil {
		f.log.Info("wave_status_not_published", zap.Error(err))
	}
	return err == nil
}
