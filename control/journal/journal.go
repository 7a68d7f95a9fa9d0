// Package journal makes records durable in pages, each of which is one row of
// the table, and stores checkpoints in the object store.
//
// A page `journal/<session>/<sequence>` commits only on the conditions that the
// session of this process still exists and that the key is absent. A fenced
// session therefore writes nothing any more, and a commit whose answer was lost
// cannot take effect twice.
package journal

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
)

// Options configures a Journal. Zero numbers and nil functions take defaults.
type Options struct {
	Table      backing.Table
	Objects    backing.Objects
	Membership control.Membership
	Clock      fleet.Clock
	// WritesPerSecond limits the page writes of all members together.
	WritesPerSecond float64
	// MaxPageBytes is the size of records beyond which no further Append joins
	// a page. A page holds at least one Append of any size.
	MaxPageBytes int
	// MaxPendingBytes limits the size of records that wait for a flush.
	MaxPendingBytes int
	// CommitTimeout limits the duration of each call of the table.
	CommitTimeout time.Duration
	// MaxResolveCalls limits the tries to find out the outcome of one commit
	// whose answer was lost.
	MaxResolveCalls int
	// TxnID returns unique transaction ids. The default returns random UUIDs.
	TxnID func() string
	// After calls fn once after d. It is used for flushes that WritesPerSecond
	// delays. The default is time.AfterFunc. If it never calls fn, delayed
	// flushes wait for Tick or an Append.
	After func(d time.Duration, fn func())
}

func (o Options) withDefaults() Options {
	if o.WritesPerSecond <= 0 {
		o.WritesPerSecond = 300
	}
	if o.MaxPageBytes <= 0 {
		o.MaxPageBytes = 256 << 10
	}
	if o.MaxPendingBytes <= 0 {
		o.MaxPendingBytes = 8 << 20
	}
	if o.CommitTimeout <= 0 {
		o.CommitTimeout = 2 * time.Second
	}
	if o.MaxResolveCalls <= 0 {
		o.MaxResolveCalls = 4
	}
	if o.TxnID == nil {
		o.TxnID = uuid.NewString
	}
	if o.After == nil {
		o.After = func(d time.Duration, fn func()) { time.AfterFunc(d, fn) }
	}
	return o
}

// Stats counts the work of a journal since its start.
type Stats struct {
	Pages    uint64 // committed
	Records  uint64 // made durable
	Bytes    uint64 // size of committed pages
	Resolved uint64 // commits whose answer was lost and whose outcome was determined
	Fenced   uint64 // batches or pages rejected because their session has ended
}

// Journal appends records under the session of this process. It is safe for
// concurrent use.
type Journal struct {
	options Options

	mu             sync.Mutex
	limiter        *rate.Limiter
	memberCount    int
	pending        []*batch
	pendingBytes   int // size of the pending records
	flushing       bool
	flushScheduled bool   // Options.After was called and has not called back yet
	sequence       uint64 // of the next page
	session        string
	stats          Stats

	// unconfirmed is the page whose commit was not answered and may have taken
	// effect; nil if there is none. While flushing is set, only the goroutine
	// that set it uses unconfirmed; otherwise mu guards it.
	unconfirmed *page
}

var _ control.Journal = (*Journal)(nil)

// batch is the records of one Append.
type batch struct {
	session string
	records []control.Record
	bytes   int
	done    chan error // buffered; receives the result of the Append
}

// page is one row of the journal.
type page struct {
	session  string
	sequence uint64
	txn      backing.Txn
	value    []byte
}

// pageBody is the CBOR encoding of a page's value.
type pageBody struct {
	Txn     string           `cbor:"1,keyasint"`
	Records []control.Record `cbor:"2,keyasint"`
}

// New returns a journal that has not adopted a session yet; it does so with the
// first flush or call of Position.
func New(options Options) *Journal {
	options = options.withDefaults()
	return &Journal{options: options, limiter: rate.NewLimiter(rate.Inf, 1), sequence: 1}
}

// Stats returns the current counters.
func (j *Journal) Stats() Stats {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stats
}

// Position returns the sequence of the next page. Every record whose Append has
// returned nil is in a page with a lower sequence.
func (j *Journal) Position() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.flushing {
		j.updateSession()
	}
	return j.sequence
}

// Append makes records durable. Appends that wait at the same time share a
// page; an Append that finds no other waiting is flushed at once if the rate
// allows. If ctx ends while the records wait, they are removed and Append
// returns backing.ErrUnavailable. If ctx ends while they are being written, it
// returns backing.ErrUnconfirmed.
func (j *Journal) Append(ctx context.Context, records ...control.Record) error {
	return j.AppendIn(ctx, j.options.Membership.Self().ID, records...)
}

// AppendIn is like Append for records that were made in the given session. It
// returns backing.ErrFenced if the process has a later session by the time of
// the flush, because another entry may have owned the records' shards in the
// meantime.
func (j *Journal) AppendIn(ctx context.Context, session string, records ...control.Record) error {
	if len(records) == 0 {
		return nil
	}
	b := &batch{session: session, records: records, bytes: recordsSize(records), done: make(chan error, 1)}
	if err := j.enqueue(b); err != nil {
		return err
	}
	j.flush(ctx)
	select {
	case err := <-b.done:
		return err
	case <-ctx.Done():
		return j.abandon(b)
	}
}

// Tick flushes waiting records and resolves an unconfirmed page. It is needed
// only if Options.After does nothing; otherwise Append schedules both.
func (j *Journal) Tick(ctx context.Context) {
	j.flush(ctx)
}

// recordsSize returns the approximate encoded size of records in bytes.
func recordsSize(records []control.Record) int {
	sum := 0
	for _, r := range records {
		sum += len(r.Body) + 8
	}
	return sum
}

// enqueue adds a batch to the pending ones. It returns backing.ErrUnavailable
// if they would exceed MaxPendingBytes.
func (j *Journal) enqueue(b *batch) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.pendingBytes+b.bytes > j.options.MaxPendingBytes && len(j.pending) > 0 {
		return fmt.Errorf("%w: journal backlog is full, %d bytes of records are pending", backing.ErrUnavailable, j.pendingBytes)
	}
	j.pending = append(j.pending, b)
	j.pendingBytes += b.bytes
	return nil
}

// abandon removes a batch whose caller no longer waits, unless it is already
// being written.
func (j *Journal) abandon(b *batch) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i, p := range j.pending {
		if p == b {
			j.pending = append(j.pending[:i:i], j.pending[i+1:]...)
			j.pendingBytes -= b.bytes
			return fmt.Errorf("%w: journal records were not flushed before the caller gave up", backing.ErrUnavailable)
		}
	}
	select {
	case err := <-b.done:
		return err
	default:
		return fmt.Errorf("%w: journal page is being written", backing.ErrUnconfirmed)
	}
}

// flush writes one page in the caller's goroutine, unless another caller is
// writing one or the rate does not allow it. The timer flushes the remaining
// batches.
func (j *Journal) flush(ctx context.Context) {
	batches, ok := j.takeBatches()
	if !ok {
		return
	}
	err := j.write(context.WithoutCancel(ctx), batches)
	j.finishFlush(batches, err)
}

// takeBatches removes the batches of the next page from the pending ones. It
// returns false if there is nothing to write or no write is allowed now.
func (j *Journal) takeBatches() ([]*batch, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.flushing || len(j.pending) == 0 && j.unconfirmed == nil {
		return nil, false
	}
	now := j.options.Clock.Now()
	j.updateRate(now)
	if !j.limiter.AllowN(now, 1) {
		j.scheduleFlush(now)
		return nil, false
	}
	j.flushing = true
	j.updateSession()
	j.rejectFormerSessions()
	bytes, n := 0, 0
	for n < len(j.pending) && (n == 0 || bytes+j.pending[n].bytes <= j.options.MaxPageBytes) {
		bytes += j.pending[n].bytes
		n++
	}
	taken := append([]*batch(nil), j.pending[:n]...)
	j.pending = append([]*batch(nil), j.pending[n:]...)
	j.pendingBytes -= bytes
	return taken, true
}

// rejectFormerSessions fails the batches of former sessions. The caller holds
// mu.
func (j *Journal) rejectFormerSessions() {
	current := j.pending[:0:0]
	for _, b := range j.pending {
		if b.session == j.session {
			current = append(current, b)
			continue
		}
		j.pendingBytes -= b.bytes
		j.stats.Fenced++
		b.done <- fmt.Errorf("%w: session %s", backing.ErrFenced, b.session)
	}
	j.pending = current
}

// finishFlush passes the result to the callers and schedules a flush of the
// batches that have arrived in the meantime.
func (j *Journal) finishFlush(batches []*batch, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.flushing = false
	for _, b := range batches {
		b.done <- err
	}
	if len(j.pending) > 0 || j.unconfirmed != nil {
		j.scheduleFlush(j.options.Clock.Now())
	}
}

// scheduleFlush schedules a flush for the time at which the rate allows it. The
// caller holds mu.
func (j *Journal) scheduleFlush(now time.Time) {
	if j.flushScheduled {
		return
	}
	j.flushScheduled = true
	wait := time.Millisecond
	if r := j.limiter.ReserveN(now, 1); r.OK() {
		wait = max(wait, r.DelayFrom(now))
		r.CancelAt(now)
	}
	j.options.After(wait, func() {
		j.mu.Lock()
		j.flushScheduled = false
		j.mu.Unlock()
		j.flush(context.Background())
	})
}

// updateRate divides the rate among the current members. Each member may save
// up a few writes as a burst. The bursts are deducted from the rates so that
// all members together stay within the limit in every second, even when all
// start after an idle time. The caller holds mu.
func (j *Journal) updateRate(now time.Time) {
	members := max(len(j.options.Membership.Members().List), 1)
	if members == j.memberCount {
		return
	}
	j.memberCount = members
	limit, burst := memberRate(j.options.WritesPerSecond, members)
	j.limiter.SetLimitAt(now, rate.Limit(limit))
	j.limiter.SetBurstAt(now, burst)
}

// memberRate returns a member's limit in writes per second and its burst in
// writes.
func memberRate(total float64, members int) (limit float64, burst int) {
	n := float64(members)
	burst = max(1, min(4, int(total/10/n)))
	limit = (total - n*float64(burst)) / n
	return max(limit, total/n/4), burst
}

// updateSession restarts at the first page if the process has a new session.
// The caller holds mu.
func (j *Journal) updateSession() {
	id := j.options.Membership.Self().ID
	if id != j.session {
		j.session = id
		j.sequence = 1
		j.unconfirmed = nil
	}
}

// write resolves an unconfirmed page and then commits the batches as the next
// page.
func (j *Journal) write(ctx context.Context, batches []*batch) error {
	if j.unconfirmed != nil {
		if err := j.resolveUnconfirmed(ctx); err != nil {
			return err
		}
	}
	if len(batches) == 0 {
		return nil
	}
	p, records, err := j.newPage(batches)
	if err != nil {
		return err
	}
	err = j.commit(ctx, p)
	if errors.Is(err, backing.ErrUnconfirmed) {
		j.unconfirmed = p
		err = j.resolveUnconfirmed(ctx)
		if err != nil && !errors.Is(err, backing.ErrFenced) {
			return fmt.Errorf("%w: commit of journal page %d may have taken effect", backing.ErrUnconfirmed, p.sequence)
		}
	}
	if err == nil {
		j.countPage(p, records)
	}
	return err
}

// resolveUnconfirmed finds out whether the unconfirmed page was written, and
// writes it if not. Otherwise the delayed commit could still take effect after
// later pages. If it fails, nothing else has been written.
func (j *Journal) resolveUnconfirmed(ctx context.Context) error {
	p := j.unconfirmed
	for range j.options.MaxResolveCalls {
		err := j.readBack(ctx, p)
		if errors.Is(err, errPageAbsent) {
			err = j.commit(ctx, p)
		}
		if err == nil || errors.Is(err, backing.ErrFenced) {
			j.setResolved(p, err)
			return err
		}
		if errors.Is(err, backing.ErrUnavailable) {
			break
		}
	}
	return fmt.Errorf("%w: outcome of the commit of journal page %d is still unknown", backing.ErrUnavailable, p.sequence)
}

// setResolved records the outcome of the unconfirmed page.
func (j *Journal) setResolved(p *page, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.unconfirmed = nil
	j.stats.Resolved++
	if err == nil {
		j.sequence = p.sequence + 1
	}
}

// countPage advances the sequence past a committed page and counts the page.
func (j *Journal) countPage(p *page, records int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sequence = p.sequence + 1
	j.stats.Pages++
	j.stats.Records += uint64(records)
	j.stats.Bytes += uint64(len(p.value))
}

// newPage encodes batches as the next page. It also returns the number of
// records.
func (j *Journal) newPage(batches []*batch) (*page, int, error) {
	body := pageBody{Txn: j.options.TxnID()}
	for _, b := range batches {
		body.Records = append(body.Records, b.records...)
	}
	value, err := cbor.Marshal(body)
	if err != nil {
		return nil, 0, fmt.Errorf("encode journal page: %w", err)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	key := pageKey(j.session, j.sequence)
	txn := backing.Txn{ID: body.Txn, Writes: []backing.Write{{Key: key, Value: value}}}
	return &page{session: j.session, sequence: j.sequence, txn: txn, value: value}, len(body.Records), nil
}

// errPageAbsent is returned when a page does not exist.
var errPageAbsent = errors.New("journal page does not exist")

// commit writes a page. After a conflict it reads the page back: a row with the
// page's transaction id is this page, and an absent row means that the session
// condition failed. The condition also fails when this entry has just renewed
// its session, so it is read again before the session counts as fenced.
func (j *Journal) commit(ctx context.Context, p *page) error {
	key := p.txn.Writes[0].Key
	for range j.options.MaxResolveCalls {
		session := j.options.Membership.Session()
		if j.options.Membership.Self().ID != p.session {
			break // the condition is that of a later session and would not fence this page
		}
		p.txn.Conditions = []backing.Condition{session, {Key: key}}
		err := j.tableCommit(ctx, p.txn)
		if !errors.Is(err, backing.ErrConflict) {
			return err
		}
		err = j.readBack(ctx, p)
		if !errors.Is(err, errPageAbsent) {
			return err
		}
		if j.options.Membership.Session() == session {
			break
		}
	}
	j.mu.Lock()
	j.stats.Fenced++
	j.mu.Unlock()
	return fmt.Errorf("%w: session %s", backing.ErrFenced, p.session)
}

// tableCommit commits a transaction. Errors that leave open whether it took
// effect match backing.ErrUnconfirmed.
func (j *Journal) tableCommit(ctx context.Context, txn backing.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, j.options.CommitTimeout)
	defer cancel()
	_, err := j.options.Table.Commit(ctx, txn)
	switch {
	case err == nil, errors.Is(err, backing.ErrConflict), errors.Is(err, backing.ErrUnavailable):
		return err
	default:
		return fmt.Errorf("%w: %w", backing.ErrUnconfirmed, err)
	}
}

// readBack returns nil if the row of a page holds this page, and errPageAbsent
// if there is no row. After any other error, except backing.ErrFenced, the
// outcome of an earlier commit is still unknown.
func (j *Journal) readBack(ctx context.Context, p *page) error {
	ctx, cancel := context.WithTimeout(ctx, j.options.CommitTimeout)
	defer cancel()
	row, err := j.options.Table.Get(ctx, p.txn.Writes[0].Key)
	if err != nil {
		return fmt.Errorf("%w: read page back: %w", backing.ErrUnconfirmed, err)
	}
	if row.Version == 0 {
		return errPageAbsent
	}
	var body pageBody
	if err := cbor.Unmarshal(row.Value, &body); err != nil {
		return fmt.Errorf("decode page %s: %w", row.Key, err)
	}
	if body.Txn != p.txn.ID {
		return fmt.Errorf("%w: page %s was written by another process", backing.ErrFenced, row.Key)
	}
	return nil
}

func pageKey(session string, sequence uint64) string {
	return fmt.Sprintf("%s%016d", pagePrefix(session), sequence)
}

func pagePrefix(session string) string { return "journal/" + session + "/" }
