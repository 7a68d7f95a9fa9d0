package node

import (
	"context"
	"testing"
	"time"

	"amaranthfork.example/sched/pool"
)

// restartDuringRenewal is a worker whose row tells of its next incarnation while that one carries a
// renewal out. It keeps what the renewals acknowledge.
type restartDuringRenewal struct {
	Workers
	client       *vmClient
	acknowledged []int64
	startedMS    int64
	restarts     bool // at the next renewal
}

func (w *restartDuringRenewal) Renew(_ context.Context, _ WorkerRef, r Renewal) (RenewalAnswer, error) {
	w.acknowledged = append(w.acknowledged, r.AcknowledgedEnds)
	if w.restarts {
		w.restarts, w.startedMS = false, 2
		w.client.observeIncarnation(2)
	}
	return RenewalAnswer{ClockMS: 9000, StartedMS: w.startedMS}, nil
}

// Guards against ends that are never acknowledged (Acks): an acknowledgement that was meant for the
// former incarnation of a worker is taken for one that the present incarnation has seen.
func TestAcknowledgementOfAnEarlierIncarnationIsForgotten(t *testing.T) {
	clock := &testClock{now: pool.Time{Steady: time.Minute}}
	r := newLeaseController(t, clock, newLeasedVMs(clock, "vm1:80"))
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // the client renews nothing by itself
	r.openVMClient(ctx, vm1)
	s := r.vmClients["vm1"]
	w := &restartDuringRenewal{client: s, startedMS: 1}
	s.workers = w
	s.deliver = func(func(*pool.Pool)) {}
	renew := func() { s.renew(t.Context()) }
	renew()
	s.suspendGrants() // an answer under way is waited for
	s.setAcknowledged(1, 5, 5)
	w.restarts = true
	renew()
	renew() // the clock of the next incarnation is known
	s.setAcknowledged(2, 3, 3)
	renew()
	if last := w.acknowledged[len(w.acknowledged)-1]; last != 3 {
		t.Errorf("acknowledgements %v; want the last to be that of end 3 of the next incarnation", w.acknowledged)
	}
}
