// Package journal makes records durable in pages of the table, one row for each
// flush, and checkpoints them into the object store.
//
// A page `journal/<session>/<sequence>` commits only under the condition of the
// own session and of its key being absent, so a session that was fenced writes
// nothing any more, and a commit whose answer was lost cannot take effect twice.
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

// Options of a Journal. Zero numbers take defaults.
type Options struct {
	Table      backing.Table
	Objects    backing.Objects
	Membership control.Membership
	Clock      fleet.Clock
	// Rate is the bound of page writes per second of all members together.
	Rate float64
	// MaxPage is the size in bytes of records after which a page is full. A
	// page holds at least one Append.
	MaxPage int
	// MaxPending bounds the bytes of records that wait for a flush.
	MaxPending int
	// CommitTimeout bounds each call of the table.
	CommitTimeout time.Duration
	// MaxResolve bounds the calls that settle one commit whose answer was lost.
	MaxResolve int
	// TxnID returns unique transaction ids; nil means random UUIDs.
	TxnID func() string
	// After calls fn once after d, for flushes that the rate holds back; nil
	// means time.AfterFunc. Without it, flushes wait for Tick or an Append.
	After func(d time.Duration, fn func())
}

func (o Options) withDefaults() Options {
	if o.Rate <= 0 {
		o.Rate = 300
	}
	if o.MaxPage <= 0 {
		o.MaxPage = 256 << 10
	}
	if o.MaxPending <= 0 {
		o.MaxPending = 8 << 20
	}
	if o.CommitTimeout <= 0 {
		o.CommitTimeout = 2 * time.Second
	}
	if o.MaxResolve <= 0 {
		o.MaxResolve = 4
	}
	if o.TxnID == nil {
		o.TxnID = uuid.NewString
	}
	if o.After == nil {
		o.After = func(d time.Duration, fn func()) { time.AfterFunc(d, fn) }
	}
	return o
}

// Stats counts what a journal has done.
type Stats struct {
	Pages    uint64 // committed
	Records  uint64 // made durable
	Bytes    uint64 // of committed pages
	Resolved uint64 // commits whose answer was lost and that were settled
	Fenced   uint64 // flushes refused because the session is gone
}

// Journal appends records under the own session. It is safe for concurrent use.
type Journal struct {
	options Options

	mu       sync.Mutex
	limiter  *rate.Limiter
	members  int
	pending  []*batch
	bytes    int // of pending records
	flushing bool
	armed    bool   // After has been called and not yet fired
	sequence uint64 // of the next page
	session  string
	stats    Stats

	doubt *page // commit whose outcome is not known; guarded by flushing
}

var _ control.Journal = (*Journal)(nil)

// batch is the records of one Append.
type batch struct {
	session string
	records []control.Record
	bytes   int
	done    chan error // buffered, receives one value
}

// page is one row of the journal.
type page struct {
	session  string
	sequence uint64
	txn      backing.Txn
	value    []byte
}

// pageBody is the encoding of a page's value.
type pageBody struct {
	Txn     string           `cbor:"1,keyasint"`
	Records []control.Record `cbor:"2,keyasint"`
}

// New returns a journal that starts with an empty session.
func New(options Options) *Journal {
	options = options.withDefaults()
	return &Journal{options: options, limiter: rate.NewLimiter(rate.Inf, 1), sequence: 1}
}

// Stats returns the counters.
func (j *Journal) Stats() Stats {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stats
}

// Position returns the sequence of the next page. Every record whose Append has
// returned nil is in a page below it.
func (j *Journal) Position() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.flushing {
		j.followSession()
	}
	return j.sequence
}

// Append makes records durable. Appends that wait together share a page; an
// Append that finds no other is flushed at once while the rate allows. A ctx
// that ends while the records wait takes them back and returns
// backing.ErrUnavailable; while they are being written it returns
// backing.ErrUnknown.
func (j *Journal) Append(ctx context.Context, records ...control.Record) error {
	return j.AppendIn(ctx, j.options.Membership.Self().ID, records...)
}

// AppendIn is Append for records that were made in a session. It returns
// backing.ErrFenced if the process has a later session by the time of the
// flush: another entry may have owned the records' shards meanwhile.
func (j *Journal) AppendIn(ctx context.Context, session string, records ...control.Record) error {
	if len(records) == 0 {
		return nil
	}
	b := &batch{session: session, records: records, bytes: size(records), done: make(chan error, 1)}
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

// Tick flushes what waits and settles a commit in doubt. Append arranges for
// both by Options.After, so Tick is needed only where that does nothing.
func (j *Journal) Tick(ctx context.Context) {
	j.flush(ctx)
}

func size(records []control.Record) int {
	sum := 0
	for _, r := range records {
		sum += len(r.Body) + 8
	}
	return sum
}

func (j *Journal) enqueue(b *batch) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.bytes+b.bytes > j.options.MaxPending && len(j.pending) > 0 {
		return fmt.Errorf("%w: %d bytes of journal records wait", backing.ErrUnavailable, j.bytes)
	}
	j.pending = append(j.pending, b)
	j.bytes += b.bytes
	return nil
}

// abandon takes a batch back whose caller has gone.
func (j *Journal) abandon(b *batch) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i, p := range j.pending {
		if p == b {
			j.pending = append(j.pending[:i:i], j.pending[i+1:]...)
			j.bytes -= b.bytes
			return fmt.Errorf("%w: journal records were not flushed in time", backing.ErrUnavailable)
		}
	}
	select {
	case err := <-b.done:
		return err
	default:
		return fmt.Errorf("%w: journal page is being written", backing.ErrUnknown)
	}
}

// flush writes one page in the caller's goroutine unless another caller does so
// or the rate does not allow it. What is left then goes to the timer.
func (j *Journal) flush(ctx context.Context) {
	batches, ok := j.begin()
	if !ok {
		return
	}
	err := j.write(context.WithoutCancel(ctx), batches)
	j.end(batches, err)
}

// begin takes the batches of the next page.
func (j *Journal) begin() ([]*batch, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.flushing || len(j.pending) == 0 && j.doubt == nil {
		return nil, false
	}
	now := j.options.Clock.Now()
	j.setRate(now)
	if !j.limiter.AllowN(now, 1) {
		j.arm(now)
		return nil, false
	}
	j.flushing = true
	j.followSession()
	j.rejectFormer()
	bytes, n := 0, 0
	for n < len(j.pending) && (n == 0 || bytes+j.pending[n].bytes <= j.options.MaxPage) {
		bytes += j.pending[n].bytes
		n++
	}
	taken := append([]*batch(nil), j.pending[:n]...)
	j.pending = append([]*batch(nil), j.pending[n:]...)
	j.bytes -= bytes
	return taken, true
}

// rejectFormer fails the batches of former sessions.
func (j *Journal) rejectFormer() {
	kept := j.pending[:0:0]
	for _, b := range j.pending {
		if b.session == j.session {
			kept = append(kept, b)
			continue
		}
		j.bytes -= b.bytes
		j.stats.Fenced++
		b.done <- fmt.Errorf("%w: session %s", backing.ErrFenced, b.session)
	}
	j.pending = kept
}

// end tells the callers and arms the timer for what has arrived meanwhile.
func (j *Journal) end(batches []*batch, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.flushing = false
	for _, b := range batches {
		b.done <- err
	}
	if len(j.pending) > 0 || j.doubt != nil {
		j.arm(j.options.Clock.Now())
	}
}

// arm flushes again once the rate allows it.
func (j *Journal) arm(now time.Time) {
	if j.armed {
		return
	}
	j.armed = true
	wait := time.Millisecond
	if r := j.limiter.ReserveN(now, 1); r.OK() {
		wait = max(wait, r.DelayFrom(now))
		r.CancelAt(now)
	}
	j.options.After(wait, func() {
		j.mu.Lock()
		j.armed = false
		j.mu.Unlock()
		j.flush(context.Background())
	})
}

// setRate divides the rate among the members. Each member may save up a few
// writes, which are deducted from its rate so that all members together stay
// within the bound in every second, also when all start from rest.
func (j *Journal) setRate(now time.Time) {
	members := max(len(j.options.Membership.Members().List), 1)
	if members == j.members {
		return
	}
	j.members = members
	limit, burst := portion(j.options.Rate, members)
	j.limiter.SetLimitAt(now, rate.Limit(limit))
	j.limiter.SetBurstAt(now, burst)
}

// portion returns a member's rate per second and its burst.
func portion(total float64, members int) (limit float64, burst int) {
	n := float64(members)
	burst = max(1, min(4, int(total/10/n)))
	limit = (total - n*float64(burst)) / n
	return max(limit, total/n/4), burst
}

// followSession starts again at the first page after the own session changed.
func (j *Journal) followSession() {
	id := j.options.Membership.Self().ID
	if id != j.session {
		j.session = id
		j.sequence = 1
		j.doubt = nil
	}
}

// write settles a page in doubt and then commits the batches as the next page.
func (j *Journal) write(ctx context.Context, batches []*batch) error {
	if j.doubt != nil {
		if err := j.settle(ctx); err != nil {
			return err
		}
	}
	if len(batches) == 0 {
		return nil
	}
	p, records, err := j.page(batches)
	if err != nil {
		return err
	}
	err = j.commit(ctx, p)
	if errors.Is(err, backing.ErrUnknown) {
		j.doubt = p
		err = j.settle(ctx)
		if err != nil && !errors.Is(err, backing.ErrFenced) {
			return fmt.Errorf("%w: journal page %d", backing.ErrUnknown, p.sequence)
		}
	}
	if err == nil {
		j.count(p, records)
	}
	return err
}

// settle finds out whether the page in doubt was written, and writes it if not.
// Without that, the lost commit could still arrive after later pages. Its
// errors prove that nothing else was written.
func (j *Journal) settle(ctx context.Context) error {
	p := j.doubt
	for range j.options.MaxResolve {
		err := j.readBack(ctx, p)
		if errors.Is(err, errAbsent) {
			err = j.commit(ctx, p)
		}
		if err == nil || errors.Is(err, backing.ErrFenced) {
			j.settled(p, err)
			return err
		}
		if errors.Is(err, backing.ErrUnavailable) {
			break
		}
	}
	return fmt.Errorf("%w: journal page %d is not settled", backing.ErrUnavailable, p.sequence)
}

func (j *Journal) settled(p *page, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.doubt = nil
	j.stats.Resolved++
	if err == nil {
		j.sequence = p.sequence + 1
	}
}

func (j *Journal) count(p *page, records int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sequence = p.sequence + 1
	j.stats.Pages++
	j.stats.Records += uint64(records)
	j.stats.Bytes += uint64(len(p.value))
}

func (j *Journal) page(batches []*batch) (*page, int, error) {
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

// errAbsent means that a page does not exist.
var errAbsent = errors.New("journal page does not exist")

// commit writes a page. A conflict is settled by reading the page back: a row
// with the page's transaction id is this page, an absent row means that the
// session's condition failed. A renewal of the session by this entry also makes
// the condition fail, so the condition is read again before the session counts
// as fenced.
func (j *Journal) commit(ctx context.Context, p *page) error {
	key := p.txn.Writes[0].Key
	for range j.options.MaxResolve {
		session := j.options.Membership.Session()
		if j.options.Membership.Self().ID != p.session {
			break // the condition belongs to a later session and would not fence this page
		}
		p.txn.Conditions = []backing.Condition{session, {Key: key}}
		err := j.tableCommit(ctx, p.txn)
		if !errors.Is(err, backing.ErrConflict) {
			return err
		}
		err = j.readBack(ctx, p)
		if !errors.Is(err, errAbsent) {
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

func (j *Journal) tableCommit(ctx context.Context, txn backing.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, j.options.CommitTimeout)
	defer cancel()
	_, err := j.options.Table.Commit(ctx, txn)
	switch {
	case err == nil, errors.Is(err, backing.ErrConflict), errors.Is(err, backing.ErrUnavailable):
		return err
	default:
		return fmt.Errorf("%w: %w", backing.ErrUnknown, err)
	}
}

// readBack returns nil if the row of a page holds that very page and errAbsent
// if there is none. Another failure means that the outcome of a commit before
// it is still not known.
func (j *Journal) readBack(ctx context.Context, p *page) error {
	ctx, cancel := context.WithTimeout(ctx, j.options.CommitTimeout)
	defer cancel()
	row, err := j.options.Table.Get(ctx, p.txn.Writes[0].Key)
	if err != nil {
		return fmt.Errorf("%w: read page back: %w", backing.ErrUnknown, err)
	}
	if row.Version == 0 {
		return errAbsent
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
