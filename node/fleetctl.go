package node

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"amaranthfork.example/sched/store"
)

// FleetSettings are the parameters of maintenance and moves.
type FleetSettings struct {
	HandOver time.Duration // between the last order of one holder and the first of the next
	Upkeep   time.Duration // of one machine
	Move     time.Duration // of one machine
	Calls    float64       // orders that the platform takes a second
}

// cordonRow asks a pool's owner to empty a VM.
type cordonRow struct {
	VM   string `cbor:"1,keyasint"` // the life that is to be emptied
	Pool string `cbor:"2,keyasint"`
	Wave string `cbor:"3,keyasint,omitempty"`
	At   int64  `cbor:"4,keyasint"` // Unix milliseconds
}

func decodeCordon(b []byte) (cordonRow, error) {
	var c cordonRow
	err := cbor.Unmarshal(b, &c)
	return c, err
}

// fleetController orders maintenance of VMs.
type fleetController struct {
	node  *Node
	log   *zap.Logger
	owner *ownership
}

func newFleetController(n *Node, o *ownership, _ time.Duration) *fleetController {
	return &fleetController{node: n, owner: o, log: n.log.With(zap.String("role", "fleet"), zap.Int64("epoch", o.row.Epoch))}
}

func (f *fleetController) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.owner.commit(ctx, store.Txn{}); err != nil {
			return err
		}
		sleep(ctx, ownerRenew)
	}
	return nil
}
