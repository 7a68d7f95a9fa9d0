// Package admission decides whether a job is accepted and in which order
// waiting jobs start. It does no I/O and takes the time as an argument.
package admission

import (
	"fmt"
	"time"

	"amaranthfork.example/fleet"
)

// minRetryAfter bounds the advice to callers whose queue is full from below, so
// that refused callers do not come back at once.
const minRetryAfter = 200 * time.Millisecond

// maxRetryAfter bounds it from above: rates change within seconds.
const maxRetryAfter = 30 * time.Second

// Load describes the competition for the pool of a job, as its owner sees it.
type Load struct {
	FreeSlots   int     // that a start could use now
	TeamAhead   int     // waiting jobs of the team with the same or a more urgent class
	TotalAhead  int     // the same for all teams
	Rate        float64 // starts per second; 0 means not known
	TeamPortion float64 // the team's part of the starts while all waiting teams compete, 0 to 1
}

// Wait returns the expected time until a job that is accepted now starts, and
// false when the rate is not known. Fair sharing bounds it twice: by all jobs
// ahead at the full rate, and by the team's own at the team's part of the rate.
func (l Load) Wait() (time.Duration, bool) {
	if l.TotalAhead < l.FreeSlots {
		return 0, true
	}
	if l.Rate <= 0 {
		return 0, false
	}
	seconds := float64(l.TotalAhead-l.FreeSlots+1) / l.Rate
	if l.TeamPortion > 0 {
		seconds = min(seconds, float64(l.TeamAhead+1)/(l.Rate*l.TeamPortion))
	}
	return time.Duration(min(seconds, 1e6) * float64(time.Second)), true
}

// Request is a job that asks to be accepted.
type Request struct {
	Now       time.Time
	Need      fleet.Resources   // estimated
	RunTime   time.Duration     // estimated, over all steps
	Deadline  time.Time         // zero means none
	Queued    int               // jobs of the team and class that wait
	MaxQueued int               // bound of Queued; 0 means none
	Largest   []fleet.Resources // largest VM of the pool by data centre; empty means not known
	Load      Load
}

// Admit returns nil for a job that is accepted, and otherwise the reason.
func Admit(r Request) *fleet.Refusal {
	if refusal := checkSize(r); refusal != nil {
		return refusal
	}
	if refusal := checkQueue(r); refusal != nil {
		return refusal
	}
	return checkDeadline(r)
}

func checkSize(r Request) *fleet.Refusal {
	if len(r.Largest) == 0 {
		return nil
	}
	for _, vm := range r.Largest {
		if r.Need.Fits(vm) {
			return nil
		}
	}
	detail := fmt.Sprintf("needs %d mCPU, %d MB and %d accelerators", r.Need.MilliCPU, r.Need.MemoryMB, r.Need.Accelerators)
	return &fleet.Refusal{Reason: fleet.ReasonTooLarge, Detail: detail}
}

func checkQueue(r Request) *fleet.Refusal {
	if r.MaxQueued <= 0 || r.Queued < r.MaxQueued {
		return nil
	}
	wait, known := r.Load.Wait()
	if !known {
		wait = time.Second
	}
	return &fleet.Refusal{
		Reason:     fleet.ReasonQueueFull,
		Detail:     fmt.Sprintf("%d jobs of the team and class wait", r.Queued),
		RetryAfter: clamp(wait/2, minRetryAfter, maxRetryAfter),
	}
}

func checkDeadline(r Request) *fleet.Refusal {
	if r.Deadline.IsZero() {
		return nil
	}
	left := r.Deadline.Sub(r.Now)
	if left <= 0 {
		return &fleet.Refusal{Reason: fleet.ReasonDeadline, Detail: "the deadline has passed"}
	}
	if r.RunTime > left {
		detail := fmt.Sprintf("the job takes about %v and %v are left", r.RunTime, left)
		return &fleet.Refusal{Reason: fleet.ReasonDeadline, Detail: detail}
	}
	wait, known := r.Load.Wait()
	if !known || wait+r.RunTime <= left {
		return nil
	}
	return &fleet.Refusal{
		Reason:     fleet.ReasonDeadline,
		Detail:     fmt.Sprintf("the job would start in about %v, take %v, and %v are left", wait, r.RunTime, left),
		RetryAfter: clamp(wait+r.RunTime-left, minRetryAfter, maxRetryAfter),
	}
}

func clamp(d, low, high time.Duration) time.Duration { return max(low, min(d, high)) }
