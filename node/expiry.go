package node

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

// Deletion of the requests of expired jobs.
const (
	expiryInterval = time.Second // between two rounds
	// maxExpiredJobs bounds the jobs of one round. It is above the jobs that a busy
	// pool finishes in expiryInterval.
	maxExpiredJobs = 400
	expiryTimeout  = 2 * time.Second // of one transaction
	// maxJobsPerExpiryTxn bounds the jobs of one transaction: each has a condition and
	// three deletes.
	maxJobsPerExpiryTxn = store.MaxTxnEntries / 4
)

// requestExpiry is the state of the deletion of expired requests.
type requestExpiry struct {
	running bool
	nextAt  time.Duration // steady clock
}

// deleteExpiredRequests begins a round of deletions if one is due. The scheduler
// deletes the progress of a job only after its requests are deleted.
func (r *poolController) deleteExpiredRequests(ctx context.Context, now time.Duration) {
	if r.expiry.running || now < r.expiry.nextAt {
		return
	}
	r.expiry.nextAt = now + expiryInterval
	expired := r.pool.ExpiredJobs(maxExpiredJobs)
	if len(expired) == 0 {
		return
	}
	r.expiry.running = true
	r.node.spawn("expiry", func() {
		kept := map[string]bool{} // jobs of which a request may still exist
		for _, txn := range expiryTxns(expired) {
			if left, err := r.deleteRequests(ctx, txn); err != nil {
				r.log.Info("requests_not_deleted", zap.Int("jobs", len(left)), zap.Error(err))
				for _, id := range left {
					kept[id] = true
				}
			}
		}
		r.deliver(func(p *pool.Pool) {
			r.expiry.running = false
			for _, spec := range expired {
				if kept[spec.ID] {
					p.RequestsNotDeleted(spec.ID)
				} else {
					p.RequestsDeleted(spec.ID)
				}
			}
		})
	})
}

// expiryTxn deletes the requests of some jobs in one partition.
type expiryTxn struct {
	store.Txn
	ids []string // of the jobs
}

// expiryTxns returns the transactions that delete the requests of jobs and their
// locations. The condition on the version of a job's row keeps a transaction that is
// carried out late from deleting a later job of the same id.
func expiryTxns(jobs []*job.Spec) []expiryTxn {
	open := map[string]*expiryTxn{} // by partition
	var full []expiryTxn
	for _, spec := range jobs {
		for _, request := range spec.Stored {
			partition := request.Key.Partition
			txn := open[partition]
			if txn == nil {
				txn = &expiryTxn{}
				open[partition] = txn
			}
			txn.Conditions = append(txn.Conditions, request)
			txn.Deletes = append(txn.Deletes, tables.StoredRequestKeys(request.Key, spec.Location)...)
			txn.ids = append(txn.ids, spec.ID)
			if len(txn.ids) == maxJobsPerExpiryTxn {
				full = append(full, *txn)
				delete(open, partition)
			}
		}
	}
	for _, txn := range open {
		full = append(full, *txn)
	}
	return full
}

// deleteRequests carries out one transaction. It returns the jobs whose requests may still
// exist if the transaction fails. Requests that an earlier try without an answer has
// deleted count as deleted; the others of the transaction are deleted with a later one.
func (r *poolController) deleteRequests(ctx context.Context, txn expiryTxn) (left []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, expiryTimeout)
	defer cancel()
	_, err = r.node.store.Commit(ctx, txn.Txn)
	if err == nil {
		return nil, nil
	}
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return txn.ids, err
	}
	for i, condition := range txn.Conditions {
		if row, exists := conflict.Find(condition.Key); exists && row.Version == condition.Version {
			left = append(left, txn.ids[i])
		}
	}
	if len(left) == 0 {
		return nil, nil
	}
	return left, err
}

// deleteOrphanedProgress has the scheduler delete the progress of finished jobs whose
// requests an earlier owner has deleted.
func (r *poolController) deleteOrphanedProgress(requests []store.Row, stored map[string]*job.Progress) {
	present := make(map[string]bool, len(requests))
	for _, row := range requests {
		if id, cancel, ok := tables.ParseRequest(r.name, row.Key); ok && !cancel {
			present[id] = true
		}
	}
	for id, progress := range stored {
		switch {
		case present[id]:
		case progress.State.Final():
			r.pool.DeleteProgress(id, progress)
		default:
			r.log.Error("progress_without_request", zap.String("job", id))
		}
	}
}
