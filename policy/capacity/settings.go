package capacity

import (
	"math"
	"time"

	"amaranthfork.example/fleet"
)

// Settings are the parameters of the policy.
type Settings struct {
	StartUrgentWithin    time.Duration // queued urgent work is to start within this time
	StartStandardWithin  time.Duration // queued standard work is to start within this time
	StartBatchWithin     time.Duration // queued batch work is to start within this time
	BatchArrivalFraction float64       // fraction of the arriving batch work that counts as demand before it queues
	HeadroomFraction     float64       // fraction of the demand for which VMs are provided on top of it; negative for less than the demand
	PeakReadyFraction    float64       // fraction of a pool's usual demand peak for which it keeps VMs between peaks
	ShareBlend           float64       // 1 divides a full fleet among the teams by shares only, 0 by demand only
	MoveCostSlotSeconds  float64       // slot-seconds that a VM must be expected to serve after a move
	MaxMoveFraction      float64       // moves at a time, as a fraction of the fleet's VMs; at least one
	MinStay              time.Duration // a moved VM stays in its new pool for at least this time
	SpareStay            time.Duration // the same for VMs in the spare pool
	ReturnAfter          time.Duration // VMs that no pool needed for this long return to the spare pool; 0 means never
	DonorMargin          int           // VMs above its need that a donor other than the spare pool retains
	OtherDonorCost       float64       // added to the cost of moves from other donors than the spare pool, in running tasks; negative prefers them
	SpareReserve         int           // VMs that stay in the spare pool unless urgent work is waiting
	RampUpTime           time.Duration // time until a data centre that came back is used at its full capacity
}

// DefaultSettings returns the settings of the neutral profile.
func DefaultSettings() Settings {
	return Settings{
		StartUrgentWithin:   500 * time.Millisecond,
		StartStandardWithin: 3 * time.Second,
		StartBatchWithin:    time.Minute,
		// Providing only nine tenths of a demand peak delays batch work by some
		// seconds and saves a fifth of the moves.
		HeadroomFraction:    -0.1,
		PeakReadyFraction:   0.5,
		ShareBlend:          0.5,
		MoveCostSlotSeconds: 16,
		MaxMoveFraction:     0.2,
		MinStay:             8 * time.Second,
		SpareStay:           time.Second,
		ReturnAfter:         time.Minute,
		DonorMargin:         2,
		OtherDonorCost:      -1,
		RampUpTime:          20 * time.Second,
	}
}

// SettingsFor adjusts the defaults to the operator's weights. Weights that are
// not positive count as 1, which is neutral.
func SettingsFor(p fleet.Profile) Settings {
	s := DefaultSettings()
	idle, move, share := weight(p.IdleWeight), weight(p.MoveWeight), weight(p.ShareWeight)
	// capacityWeight is the weight of both costs of capacity, idle VMs and moves,
	// relative to that of late work.
	capacityWeight := math.Sqrt(idle * move)
	s.HeadroomFraction = max(-0.5, s.HeadroomFraction-float64(0.18*(capacityWeight-1)))
	// The smaller the fraction of the demand for which VMs are provided, the more of
	// it is batch work.
	s.BatchArrivalFraction = max(0, min(1, (capacityWeight-1)/2))
	s.PeakReadyFraction = max(0.2, s.PeakReadyFraction-float64(0.1*(capacityWeight-1)))
	s.MoveCostSlotSeconds *= move
	s.PeakReadyFraction = min(1, s.PeakReadyFraction*math.Sqrt(move/idle))
	s.ReturnAfter = scale(s.ReturnAfter, math.Sqrt(move)/idle)
	s.ShareBlend = 1 - 1/(1+float64(share*share))
	return s
}

func weight(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// RampUp returns the fraction of its capacity, between 0 and 1, that a data centre
// may use now. It rises over the time ramp after the data centre came back, so
// that a data centre that soon fails again does not take all of its former work
// with it. A data centre whose state never changed has all of its capacity.
func RampUp(dc DataCentre, now time.Time, ramp time.Duration) float64 {
	if dc.State == fleet.DataCentreOut {
		return 0
	}
	if dc.Since.IsZero() || ramp <= 0 {
		return 1
	}
	const first = 0.25 // enough VMs to show whether the data centre works
	fraction := first + (1-first)*float64(now.Sub(dc.Since))/float64(ramp)
	return max(first, min(1, fraction))
}
