// Package admission decides whether a job is accepted and in which order
// waiting jobs start. It does no I/O and takes the current time as an argument.
// Placement of the started jobs on VMs is not part of it.
package admission

import (
	"fmt"
	"time"

	"amaranthfork.example/fleet"
)

// minRetryAfter is the shortest Refusal.RetryAfter, so that refused callers do
// not retry at once.
const minRetryAfter = 200 * time.Millisecond

// maxRetryAfter is the longest Refusal.RetryAfter. Start rates change within
// seconds, so a longer delay would rest on an outdated estimate.
const maxRetryAfter = 30 * time.Second

// Load describes how busy the pool of a job is, as known to the entry that
// owns the job.
type Load struct {
	FreeSlots       int     // slots on which a task could start now
	TeamAhead       int     // waiting jobs of the team with the same or a more urgent class
	TotalAhead      int     // waiting jobs of all teams with the same or a more urgent class
	StartsPerSecond float64 // starts per second; 0 means unknown
	TeamFraction    float64 // fraction of the starts that the team gets while all waiting teams compete, 0 to 1
}

// Wait returns the expected time until a job that is accepted now starts. It
// returns false if the jobs ahead take all free slots and the start rate is
// unknown. Under fair sharing the job starts at the latest when all jobs ahead
// have started at the full rate, or when those of its team have started at the
// team's fraction of the rate, whichever is earlier.
func (l Load) Wait() (time.Duration, bool) {
	if l.TotalAhead < l.FreeSlots {
		return 0, true
	}
	if l.StartsPerSecond <= 0 {
		return 0, false
	}
	seconds := float64(l.TotalAhead-l.FreeSlots+1) / l.StartsPerSecond
	if l.TeamFraction > 0 {
		seconds = min(seconds, float64(l.TeamAhead+1)/(l.StartsPerSecond*l.TeamFraction))
	}
	return time.Duration(min(seconds, 1e6) * float64(time.Second)), true // bounded so that the duration cannot overflow
}

// Request describes a submitted job and what is known of its queue and pool.
type Request struct {
	Now        time.Time
	Need       fleet.Resources   // estimated, of one task
	RunTime    time.Duration     // estimated, total of all steps
	Deadline   time.Time         // zero means none
	Queued     int               // waiting jobs of the team and class
	MaxQueued  int               // upper limit of Queued; 0 means none
	LargestVMs []fleet.Resources // largest VM of the pool in each data centre; empty means unknown
	Load       Load
}

// Admit returns nil if the job is accepted, and otherwise the refusal.
func Admit(r Request) *fleet.Refusal {
	if refusal := checkSize(r); refusal != nil {
		return refusal
	}
	if refusal := checkQueue(r); refusal != nil {
		return refusal
	}
	return checkDeadline(r)
}

// checkSize refuses a job whose task fits on no VM of the pool. A pool of unknown
// size refuses none.
func checkSize(r Request) *fleet.Refusal {
	if len(r.LargestVMs) == 0 {
		return nil
	}
	for _, vm := range r.LargestVMs {
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
		Detail:     fmt.Sprintf("%d jobs of this team and class are already waiting", r.Queued),
		RetryAfter: clamp(wait/2, minRetryAfter, maxRetryAfter),
	}
}

func checkDeadline(r Request) *fleet.Refusal {
	if r.Deadline.IsZero() {
		return nil
	}
	remaining := r.Deadline.Sub(r.Now)
	if remaining <= 0 {
		return &fleet.Refusal{Reason: fleet.ReasonDeadline, Detail: "the deadline has passed"}
	}
	if r.RunTime > remaining {
		detail := fmt.Sprintf("the job takes about %v, but the deadline is in %v", r.RunTime, remaining)
		return &fleet.Refusal{Reason: fleet.ReasonDeadline, Detail: detail}
	}
	wait, known := r.Load.Wait()
	if !known || wait+r.RunTime <= remaining {
		return nil
	}
	return &fleet.Refusal{
		Reason:     fleet.ReasonDeadline,
		Detail:     fmt.Sprintf("the job would start in about %v and take %v, but the deadline is in %v", wait, r.RunTime, remaining),
		RetryAfter: clamp(wait+r.RunTime-remaining, minRetryAfter, maxRetryAfter),
	}
}

func clamp(d, low, high time.Duration) time.Duration { return max(low, min(d, high)) }
