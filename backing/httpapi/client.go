package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/fleet"
)

// Defaults of ClientOptions.
const (
	DefaultTimeout  = 2 * time.Second
	defaultMaxConns = 64 // connections to the platform at a time, so that a slow store cannot use up the sockets
)

// ClientOptions configures a Client.
type ClientOptions struct {
	URL     string        // scheme, host and port of the platform
	Caller  string        // name of the calling node
	Timeout time.Duration // of a call; 0 means DefaultTimeout
}

// Client calls a platform over HTTP. A call that did not reach the platform and a
// read without a complete answer return backing.ErrUnavailable; a write without a
// complete answer returns backing.ErrUnconfirmed. If the context ended, the error
// also matches that of the context.
type Client struct {
	options ClientOptions
	http    *http.Client
}

// NewClient returns a client without open connections.
func NewClient(o ClientOptions) *Client {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: o.Timeout}).DialContext,
		MaxConnsPerHost:     defaultMaxConns,
		MaxIdleConnsPerHost: defaultMaxConns,
		IdleConnTimeout:     time.Minute,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{options: o, http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Table returns the table service.
func (c *Client) Table() backing.ConditionalTable { return table{c} }

// Objects returns the object store.
func (c *Client) Objects() backing.Objects { return objects{c} }

// VMList returns the list of VMs.
func (c *Client) VMList() backing.VMList { return vms{c} }

// VMFeed returns the feed of changes of the list of VMs.
func (c *Client) VMFeed() backing.VMFeed { return vms{c} }

// VMs returns the VM control service.
func (c *Client) VMs() backing.VMs { return vms{c} }

// Workers returns the worker control service.
func (c *Client) Workers() backing.Workers { return workers{c} }

// read makes a call that has no effect on the platform.
func read[Resp any](ctx context.Context, c *Client, path string, req any) (Resp, error) {
	return call[Resp](ctx, c, path, req, backing.ErrUnavailable)
}

// write makes a call that may have an effect on the platform.
func write[Resp any](ctx context.Context, c *Client, path string, req any) (Resp, error) {
	return call[Resp](ctx, c, path, req, backing.ErrUnconfirmed)
}

// call posts req and decodes the answer. It returns noAnswerErr if the platform may
// have handled the request but no complete, valid answer arrived.
func call[Resp any](ctx context.Context, c *Client, path string, req any, noAnswerErr error) (Resp, error) {
	var resp Resp
	body, err := json.Marshal(req)
	if err != nil {
		return resp, fmt.Errorf("encode request: %w", err)
	}
	if len(body) > MaxBodyBytes {
		return resp, fmt.Errorf("request of %d bytes is over the limit of %d", len(body), MaxBodyBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	status, answer, err := c.post(ctx, path, body, noAnswerErr)
	if err != nil {
		return resp, err
	}
	return resp, decodeAnswer(status, answer, &resp, noAnswerErr)
}

// decodeAnswer decodes a successful answer into resp, and returns the error of a
// failed one.
func decodeAnswer(status int, answer []byte, resp any, noAnswerErr error) error {
	if status == http.StatusOK {
		if err := json.Unmarshal(answer, resp); err != nil {
			return fmt.Errorf("%w: decode answer: %w", noAnswerErr, err)
		}
		return nil
	}
	var body errorBody
	if err := json.Unmarshal(answer, &body); err != nil {
		return fmt.Errorf("%w: status %d, decode error: %w", noAnswerErr, status, err)
	}
	if err := decodeError(body); err != nil {
		return err
	}
	return fmt.Errorf("%w: status %d, code %q", noAnswerErr, status, body.Code)
}

// post returns the status and the complete body of the answer.
func (c *Client) post(ctx context.Context, path string, body []byte, noAnswerErr error) (int, []byte, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.options.URL+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(CallerHeader, c.options.Caller)
	resp, err := c.http.Do(req)
	if err != nil {
		// Without a connection, nothing of the request was sent.
		if !connected.Load() {
			noAnswerErr = backing.ErrUnavailable
		}
		return 0, nil, fmt.Errorf("%w: %w", noAnswerErr, err)
	}
	defer resp.Body.Close()
	answer, err := readAll(resp.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: read answer: %w", noAnswerErr, err)
	}
	return resp.StatusCode, answer, nil
}

// readAll reads r to its end. It returns an error beyond MaxBodyBytes.
func readAll(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxBodyBytes+1))
	if err == nil && len(body) > MaxBodyBytes {
		err = fmt.Errorf("body is over the limit of %d bytes", MaxBodyBytes)
	}
	return body, err
}

// decodeJSON decodes the only JSON value of r into v. Unknown fields and further
// data are errors.
func decodeJSON(r io.Reader, v any) error {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected data after the value")
	}
	return nil
}

type table struct{ c *Client }

func (t table) Get(ctx context.Context, key string) (backing.Row, error) {
	return read[backing.Row](ctx, t.c, "/v1/table/get", keyRequest{key})
}

func (t table) GetNewer(ctx context.Context, key string, version uint64) (backing.Row, bool, error) {
	resp, err := read[newerResponse](ctx, t.c, "/v1/table/get-newer", newerRequest{key, version})
	return resp.Row, resp.Changed, err
}

func (t table) Range(ctx context.Context, prefix, after string, limit int) ([]backing.Row, error) {
	resp, err := read[rowsResponse](ctx, t.c, "/v1/table/range", rangeRequest{prefix, after, limit})
	return resp.Rows, err
}

func (t table) Commit(ctx context.Context, txn backing.Txn) ([]uint64, error) {
	resp, err := write[versionsResponse](ctx, t.c, "/v1/table/commit", txn)
	return resp.Versions, err
}

type objects struct{ c *Client }

func (o objects) Put(ctx context.Context, key string, value []byte) error {
	_, err := write[empty](ctx, o.c, "/v1/objects/put", putRequest{key, value})
	return err
}

func (o objects) Get(ctx context.Context, key string) ([]byte, error) {
	resp, err := read[valueResponse](ctx, o.c, "/v1/objects/get", keyRequest{key})
	return resp.Value, err
}

func (o objects) List(ctx context.Context, prefix string) ([]string, error) {
	resp, err := read[keysResponse](ctx, o.c, "/v1/objects/list", keyRequest{prefix})
	return resp.Keys, err
}

func (o objects) Delete(ctx context.Context, key string) error {
	_, err := write[empty](ctx, o.c, "/v1/objects/delete", keyRequest{key})
	return err
}

type vms struct{ c *Client }

func (v vms) List(ctx context.Context) (backing.VMListing, error) {
	return read[backing.VMListing](ctx, v.c, "/v1/vms/list", empty{})
}

func (v vms) Changes(ctx context.Context, token string) (backing.VMChanges, error) {
	return read[backing.VMChanges](ctx, v.c, "/v1/vms/changes", changesRequest{token})
}

func (v vms) Drain(ctx context.Context, vm fleet.VMID) error {
	_, err := write[empty](ctx, v.c, "/v1/vms/drain", vmRequest{vm})
	return err
}

func (v vms) Reboot(ctx context.Context, vm fleet.VMID) error {
	_, err := write[empty](ctx, v.c, "/v1/vms/reboot", vmRequest{vm})
	return err
}

func (v vms) Release(ctx context.Context, vm fleet.VMID) error {
	_, err := write[empty](ctx, v.c, "/v1/vms/release", vmRequest{vm})
	return err
}

type workers struct{ c *Client }

// send makes a call of the worker service that has no result.
func (w workers) send(ctx context.Context, name string, req workerRequest) error {
	_, err := write[empty](ctx, w.c, "/v1/workers/"+name, req)
	return err
}

func (w workers) Acquire(ctx context.Context, vm fleet.VMID, lease backing.Lease, ttl time.Duration) error {
	return w.send(ctx, "acquire", workerRequest{VM: vm, Lease: lease, TTL: Duration(ttl)})
}

func (w workers) Start(ctx context.Context, vm fleet.VMID, lease backing.Lease, task backing.Task) error {
	return w.send(ctx, "start", workerRequest{VM: vm, Lease: lease, Task: &task})
}

func (w workers) Tasks(ctx context.Context, vm fleet.VMID, lease backing.Lease) ([]backing.TaskStatus, error) {
	resp, err := read[tasksResponse](ctx, w.c, "/v1/workers/tasks", workerRequest{VM: vm, Lease: lease})
	return resp.Tasks, err
}

func (w workers) Forget(ctx context.Context, vm fleet.VMID, lease backing.Lease, ids []fleet.AttemptID) error {
	return w.send(ctx, "forget", workerRequest{VM: vm, Lease: lease, Attempts: ids})
}

func (w workers) Checkpoint(ctx context.Context, vm fleet.VMID, lease backing.Lease, id fleet.AttemptID) error {
	return w.send(ctx, "checkpoint", workerRequest{VM: vm, Lease: lease, Attempt: id})
}

func (w workers) Throttle(ctx context.Context, vm fleet.VMID, lease backing.Lease, id fleet.AttemptID, milliCPU int64) error {
	return w.send(ctx, "throttle", workerRequest{VM: vm, Lease: lease, Attempt: id, MilliCPU: milliCPU})
}

func (w workers) Stop(ctx context.Context, vm fleet.VMID, lease backing.Lease, id fleet.AttemptID) error {
	return w.send(ctx, "stop", workerRequest{VM: vm, Lease: lease, Attempt: id})
}
