package capacity

import (
	"math"
	"time"

	"amaranthfork.example/fleet"
)

// Settings are the parameters of the policy.
type Settings struct {
	ClearUrgent   time.Duration // queued urgent work is to start within this time
	ClearStandard time.Duration // queued standard work is to start within this time
	ClearBatch    time.Duration // queued batch work is to start within this time
	BatchSteady   float64       // part of the arriving batch work that counts before it queues
	Headroom      float64       // part of the demand kept free on top of it
	Ready         float64       // part of a pool's usual burst for which it keeps VMs between bursts
	ShareBlend    float64       // 1 divides a full fleet by shares only, 0 by demand only
	MoveCost      float64       // slot-seconds that a moved VM must be expected to serve
	MaxMoves      float64       // moves at a time, as a part of the fleet's VMs
	MinStay       time.Duration // a moved VM stays in its new pool for this time
	SpareStay     time.Duration // MinStay of VMs in the spare pool
	ParkAfter     time.Duration // VMs that all pools together did not need for this long go back; 0 means never
	GiveMargin    int           // VMs above its need that a donor other than the spare pool keeps
	SpareFirst    float64       // preference of the spare pool over other donors, in running tasks
	SpareReserve  int           // VMs that stay in the spare pool unless urgent work waits
	Ramp          time.Duration // a returned data centre reaches its full capacity after this time
}

// DefaultSettings returns the settings of the neutral profile.
func DefaultSettings() Settings {
	return Settings{
		ClearUrgent:   500 * time.Millisecond,
		ClearStandard: 3 * time.Second,
		ClearBatch:    time.Minute,
		// Serving a burst nine tenths at once defers some seconds of batch
		// work and saves a fifth of the moves.
		Headroom:   -0.1,
		Ready:      0.5,
		ShareBlend: 0.5,
		MoveCost:   16,
		MaxMoves:   0.2,
		MinStay:    8 * time.Second,
		SpareStay:  time.Second,
		ParkAfter:  time.Minute,
		GiveMargin: 2,
		SpareFirst: -1,
		Ramp:       20 * time.Second,
	}
}

// SettingsFor shifts the defaults by the operator's weights. Weights that are
// not positive count as neutral.
func SettingsFor(p fleet.Profile) Settings {
	s := DefaultSettings()
	idle, move, share := weight(p.IdleWeight), weight(p.MoveWeight), weight(p.ShareWeight)
	// thrift is how much both costs of capacity weigh beside late work.
	thrift := math.Sqrt(idle * move)
	s.Headroom = max(-0.5, s.Headroom-0.18*(thrift-1))
	// The smaller the part that is served at once, the more of it is batch work.
	s.BatchSteady = max(0, min(1, (thrift-1)/2))
	s.Ready = max(0.2, s.Ready-0.1*(thrift-1))
	s.MoveCost *= move
	s.Ready = min(1, s.Ready*math.Sqrt(move/idle))
	s.ParkAfter = scale(s.ParkAfter, math.Sqrt(move)/idle)
	s.ShareBlend = 1 - 1/(1+share*share)
	return s
}

func weight(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

func scale(d time.Duration, f float64) time.Duration {
	return time.Duration(float64(d) * f)
}

// RampUp returns the part of its capacity, between 0 and 1, that a data centre
// may use now. A data centre that never changed or that is long back has all
// of it. The gradual return keeps a data centre that fails again soon from
// taking all work with it.
func RampUp(dc DataCentre, now time.Time, ramp time.Duration) float64 {
	if dc.State == fleet.DataCentreOut {
		return 0
	}
	if dc.Since.IsZero() || ramp <= 0 {
		return 1
	}
	const first = 0.25 // the first VMs back show whether the data centre works
	f := first + (1-first)*float64(now.Sub(dc.Since))/float64(ramp)
	return max(first, min(1, f))
}
