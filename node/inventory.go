package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/pool"
)

const (
	// inventoryReadInterval is the least time between two reads of the inventory by a pool's
	// owner. The platform limits the reads of all entries together.
	inventoryReadInterval = time.Second
	// inventoryReadTimeout bounds a read of all pages.
	inventoryReadTimeout = 2 * time.Second
)

// inventoryReader reads the platform's list of machines for a pool's owner while a silent VM may
// have runs. It is used by the goroutine of the owner's loop only.
type inventoryReader struct {
	pending bool
	read    bool          // there was a read
	sentAt  time.Duration // request of the last one, steady clock
	failing bool          // the last read has failed
}

// request begins a read if one is due. Its list goes to the scheduler; one that could not be read
// to its end does not.
func (i *inventoryReader) request(ctx context.Context, r *poolController, now time.Duration) {
	n := r.node
	if n.machines == nil || i.pending || i.read && now-i.sentAt < inventoryReadInterval || !r.pool.AwaitsInventory() {
		return
	}
	i.pending, i.read, i.sentAt = true, true, now
	n.spawn("inventory for "+r.name, func() {
		var list []pool.ListedMachine
		err := n.protect("inventory for "+r.name, func() error {
			ctx, cancel := context.WithTimeout(ctx, inventoryReadTimeout)
			defer cancel()
			machines, err := n.machines.List(ctx)
			if err != nil {
				return err
			}
			list = make([]pool.ListedMachine, len(machines))
			for k, m := range machines {
				list[k] = pool.ListedMachine{Name: m.Name, Worker: m.Worker}
			}
			return nil
		})
		stopped := ctx.Err() != nil
		r.deliver(func(p *pool.Pool) {
			i.pending = false
			if err != nil {
				if !stopped {
					i.recordFailure(r.log, err)
				}
				return
			}
			i.recordSuccess(r.log)
			p.MachinesListed(list, now)
		})
	})
}

func (i *inventoryReader) recordFailure(log *zap.Logger, err error) {
	if !i.failing {
		log.Warn("dependency_lost", zap.String("dependency", "inventory"), zap.Error(err))
	}
	i.failing = true
}

func (i *inventoryReader) recordSuccess(log *zap.Logger) {
	if i.failing {
		log.Info("dependency_regained", zap.String("dependency", "inventory"))
	}
	i.failing = false
}
