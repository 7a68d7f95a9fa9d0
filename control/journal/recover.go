package journal

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
)

// maxRowsPerCall bounds the rows that one call of the table reads or deletes.
const maxRowsPerCall = 64

// maxCheckpointReads bounds the tries to read checkpoints that are replaced by
// newer ones during the read.
const maxCheckpointReads = 5

// Checkpoint stores the state of a shard in a session. The state must contain
// the effect of every record of the shard in pages below position, which is a
// value that Position has returned. Older checkpoints of the shard are deleted.
func (j *Journal) Checkpoint(ctx context.Context, session string, shard int, position uint64, state []byte) error {
	key := checkpointKey(session, shard, position)
	older, err := j.options.Objects.List(ctx, shardPrefix(session, shard))
	if err != nil {
		return fmt.Errorf("list checkpoints of shard %d: %w", shard, err)
	}
	if err := j.options.Objects.Put(ctx, key, state); err != nil {
		return fmt.Errorf("write checkpoint of shard %d: %w", shard, err)
	}
	for _, old := range older {
		if old < key {
			_ = j.options.Objects.Delete(ctx, old) // if this fails, the next checkpoint deletes it; until then it is ignored
		}
	}
	return nil
}

// Trim deletes the pages of a session below a position, all of which must be
// covered by checkpoints. It returns the number of deleted pages. When the rate
// allows no more writes, it leaves the remaining pages to the next call. It
// returns backing.ErrFenced if the session is not the current one.
func (j *Journal) Trim(ctx context.Context, session string, position uint64) (int, error) {
	deleted := 0
	end := pageKey(session, position)
	for {
		rows, err := j.options.Table.Range(ctx, pagePrefix(session), "", maxRowsPerCall)
		if err != nil {
			return deleted, fmt.Errorf("list journal pages: %w", err)
		}
		keys := rowKeys(rows, end)
		condition := j.options.Membership.Session()
		if j.options.Membership.Self().ID != session {
			return deleted, fmt.Errorf("%w: session %s", backing.ErrFenced, session)
		}
		if len(keys) == 0 || !j.allowWrite() {
			return deleted, nil
		}
		if err := deleteRows(ctx, j.options.Table, keys, j.options.TxnID(), condition); err != nil {
			return deleted, fmt.Errorf("delete journal pages: %w", err)
		}
		deleted += len(keys)
	}
}

// allowWrite reports whether the rate allows a write now, and counts it if so.
func (j *Journal) allowWrite() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.options.Clock.Now()
	j.updateRate(now)
	return j.limiter.AllowN(now, 1)
}

// rowKeys returns the keys of the rows below end, or of all rows if end is
// empty.
func rowKeys(rows []backing.Row, end string) []string {
	var keys []string
	for _, row := range rows {
		if end == "" || row.Key < end {
			keys = append(keys, row.Key)
		}
	}
	return keys
}

func deleteRows(ctx context.Context, table backing.Table, keys []string, id string, conditions ...backing.Condition) error {
	txn := backing.Txn{ID: id, Conditions: conditions}
	for _, key := range keys {
		txn.Writes = append(txn.Writes, backing.Write{Key: key, Delete: true})
	}
	_, err := table.Commit(ctx, txn)
	return err
}

// Recovery is the content of a session's pages and checkpoints.
type Recovery struct {
	States  map[int][]byte   // newest checkpoint of each shard
	Records []control.Record // of the requested shards, in the order of the pages
	Pages   int              // number of pages read
}

// Recover calls the function Recover with the stores of the journal.
func (j *Journal) Recover(ctx context.Context, session string, shards []int) (Recovery, error) {
	return Recover(ctx, j.options.Table, j.options.Objects, session, shards)
}

// Recover reads all pages of a session and the newest checkpoints of the given
// shards. The session must be fenced, or have released the shards. Pages that
// are deleted during the read are covered by the checkpoints, which are read
// last.
func Recover(ctx context.Context, table backing.Table, objects backing.Objects, session string, shards []int) (Recovery, error) {
	r := Recovery{States: map[int][]byte{}}
	if err := r.readPages(ctx, table, session, shards); err != nil {
		return Recovery{}, fmt.Errorf("read journal of session %s: %w", session, err)
	}
	if err := r.readCheckpoints(ctx, objects, session, shards); err != nil {
		return Recovery{}, fmt.Errorf("read checkpoints of session %s: %w", session, err)
	}
	return r, nil
}

func (r *Recovery) readPages(ctx context.Context, table backing.Table, session string, shards []int) error {
	after := ""
	for {
		rows, err := table.Range(ctx, pagePrefix(session), after, maxRowsPerCall)
		if err != nil {
			return err
		}
		if len(rows) == 0 {
			return nil
		}
		for _, row := range rows {
			if err := r.addPage(row, shards); err != nil {
				return err
			}
		}
		after = rows[len(rows)-1].Key
	}
}

// addPage adds the records of a page that belong to the given shards.
func (r *Recovery) addPage(row backing.Row, shards []int) error {
	var body pageBody
	if err := cbor.Unmarshal(row.Value, &body); err != nil {
		return fmt.Errorf("decode page %s: %w", row.Key, err)
	}
	r.Pages++
	for _, record := range body.Records {
		if slices.Contains(shards, record.Shard) {
			r.Records = append(r.Records, record)
		}
	}
	return nil
}

// readCheckpoints reads the newest checkpoint of each shard. It lists the
// checkpoints again if some were replaced between the list and the read.
func (r *Recovery) readCheckpoints(ctx context.Context, objects backing.Objects, session string, shards []int) error {
	for range maxCheckpointReads {
		keys, err := objects.List(ctx, "checkpoint/"+session+"/")
		if err != nil {
			return err
		}
		replaced := 0
		for _, shard := range shards {
			err := r.readCheckpoint(ctx, objects, keys, session, shard)
			if errors.Is(err, backing.ErrNotFound) {
				replaced++
			} else if err != nil {
				return fmt.Errorf("shard %d: %w", shard, err)
			}
		}
		if replaced == 0 {
			return nil
		}
	}
	return fmt.Errorf("%w: checkpoints are replaced faster than they can be read", backing.ErrUnavailable)
}

// readCheckpoint reads the newest of the listed checkpoints of a shard, unless
// there is none or the shard's state was already read.
func (r *Recovery) readCheckpoint(ctx context.Context, objects backing.Objects, listed []string, session string, shard int) error {
	newest := ""
	for _, key := range listed {
		if strings.HasPrefix(key, shardPrefix(session, shard)) {
			newest = max(newest, key)
		}
	}
	if newest == "" || r.States[shard] != nil {
		return nil
	}
	state, err := objects.Get(ctx, newest)
	if err != nil {
		return err
	}
	r.States[shard] = state
	return nil
}

// Sweeper deletes the pages and checkpoints of sessions that are no longer
// needed.
type Sweeper struct {
	Table   backing.Table
	Objects backing.Objects
	// ReferencedSessions reads from the store which sessions still own shards or
	// are sources of a takeover in progress. Their pages and checkpoints are
	// needed.
	ReferencedSessions func(ctx context.Context) (map[string]bool, error)
	// TxnID returns unique transaction ids.
	TxnID func() string
}

// Sweep deletes up to maxRowsPerCall pages and all checkpoints of each session
// that is not referenced, and returns the number of deleted rows and objects.
// It lists pages and checkpoints before it reads the references: a session
// writes only after the shard map names it, so a session that was listed and is
// not referenced afterwards has been taken over by another one.
func (s Sweeper) Sweep(ctx context.Context) (deleted int, err error) {
	pages, err := s.listPages(ctx)
	if err != nil {
		return 0, fmt.Errorf("list journal pages: %w", err)
	}
	objects, err := s.Objects.List(ctx, "checkpoint/")
	if err != nil {
		return 0, fmt.Errorf("list checkpoints: %w", err)
	}
	referenced, err := s.ReferencedSessions(ctx)
	if err != nil {
		return 0, fmt.Errorf("read referenced sessions: %w", err)
	}
	for session, keys := range pages {
		if referenced[session] {
			continue
		}
		if err := deleteRows(ctx, s.Table, keys, s.TxnID()); err != nil {
			return deleted, fmt.Errorf("delete journal of session %s: %w", session, err)
		}
		deleted += len(keys)
	}
	for _, key := range objects {
		if referenced[sessionOf(key)] {
			continue
		}
		if err := s.Objects.Delete(ctx, key); err != nil {
			return deleted, fmt.Errorf("delete %s: %w", key, err)
		}
		deleted++
	}
	return deleted, nil
}

// listPages returns the first page keys of each session, up to maxRowsPerCall
// for each. It makes two reads of the table per session, however many pages the
// session has.
func (s Sweeper) listPages(ctx context.Context) (map[string][]string, error) {
	found := map[string][]string{}
	after := "journal/"
	for {
		rows, err := s.Table.Range(ctx, "journal/", after, 1)
		if err != nil || len(rows) == 0 {
			return found, err
		}
		session := sessionOf(rows[0].Key)
		rows, err = s.Table.Range(ctx, pagePrefix(session), "", maxRowsPerCall)
		if err != nil {
			return nil, err
		}
		found[session] = rowKeys(rows, "")
		after = pagePrefix(session) + "~" // greater than every sequence
	}
}

// sessionOf returns the session of a page or checkpoint key, which is its
// second part.
func sessionOf(key string) string {
	parts := strings.SplitN(key, "/", 3)
	if len(parts) < 2 {
		return ""
	}
	return parts[1]
}

func shardPrefix(session string, shard int) string {
	return "checkpoint/" + session + "/" + strconv.Itoa(shard) + "/"
}

func checkpointKey(session string, shard int, position uint64) string {
	return fmt.Sprintf("%s%016d", shardPrefix(session, shard), position)
}
