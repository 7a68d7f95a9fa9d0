package client

import (
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"amaranthfork.example/fleet"
)

const (
	// KeyHeader carries a team's key, keyid.secret.
	KeyHeader = "Amaranth-Key"

	maxResponseBytes = 64 << 20
	requestTimeout   = 30 * time.Second // one try; it exceeds the longest wait for an answer
	waitTimeout      = 20 * time.Second // the longest that an entry is asked to hold a wait

	defaultMaxTries = 5
	defaultMinWait  = 200 * time.Millisecond
	defaultMaxWait  = 2 * time.Second
)

// Options configure a client. Only BaseURL is required.
type Options struct {
	BaseURL   string            // for example https://entry.example:8443
	Key       string            // keyid.secret of a team
	Token     string            // operator token
	CAFile    string            // PEM certificates to trust instead of the system's
	Transport http.RoundTripper // for tests; CAFile must be empty
	MaxTries  int               // tries of one request, 5 if 0
	MinWait   time.Duration     // wait before the second try, 200 ms if 0
	MaxWait   time.Duration     // longest wait between tries, 2 s if 0
}

// Client calls the HTTP API. It is safe for concurrent use.
//
// Every request is safe to repeat, because changes carry an id that the caller
// or the client chose. Requests are repeated with backoff when no entry answered
// and when an entry refused with a time to wait. Errors are *Error,
// *UnavailableError and, for requests that change something, *UnknownError.
type Client struct {
	base    *url.URL
	options Options
	http    *http.Client
}

// New returns a client. It fails if BaseURL is not an HTTP URL or CAFile cannot
// be used.
func New(o Options) (*Client, error) {
	base, err := url.Parse(o.BaseURL)
	if err != nil {
		return nil, fmt.Errorf("server URL: %w", err)
	}
	if (base.Scheme != "http" && base.Scheme != "https") || base.Host == "" {
		return nil, fmt.Errorf("server URL %q must start with http:// or https:// and name a host", o.BaseURL)
	}
	transport, err := o.transport()
	if err != nil {
		return nil, err
	}
	o.MaxTries = cmp.Or(o.MaxTries, defaultMaxTries)
	o.MinWait = cmp.Or(o.MinWait, defaultMinWait)
	o.MaxWait = cmp.Or(o.MaxWait, defaultMaxWait)
	return &Client{base: base, options: o, http: &http.Client{
		Transport: transport,
		Timeout:   requestTimeout,
		// A redirect would carry the key to another host.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}, nil
}

// transport returns the transport of the options.
func (o Options) transport() (http.RoundTripper, error) {
	if o.Transport != nil {
		return o.Transport, nil
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if o.CAFile == "" {
		return transport, nil
	}
	pem, err := os.ReadFile(o.CAFile)
	if err != nil {
		return nil, fmt.Errorf("CA file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("CA file %q has no PEM certificate", o.CAFile)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return transport, nil
}

// call is one request of the API.
type call struct {
	method  string
	path    []string // unescaped segments after /v1
	query   url.Values
	body    any  // nil for none
	changes bool // a lost answer leaves open whether something was changed
	into    any  // receives the answer; nil to ignore it
}

// do makes a call, with further tries as the outcome of each allows.
func (c *Client) do(ctx context.Context, call call) error {
	var body []byte
	if call.body != nil {
		var err error
		if body, err = json.Marshal(call.body); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	t := tries{call: call}
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = c.options.MinWait, c.options.MaxWait
	_, _ = backoff.Retry(ctx, func() (struct{}, error) { // tries keeps the error
		return struct{}{}, t.record(c.once(ctx, call, body))
	}, backoff.WithBackOff(wait), backoff.WithMaxTries(uint(c.options.MaxTries)))
	return t.result()
}

// tries follows the tries of one call.
type tries struct {
	call call
	last error
	lost bool // an earlier try may have taken effect
}

// record takes the error of a try and returns what the backoff shall do.
func (t *tries) record(err error) error {
	t.last = err
	var refusal *Error
	var transport *transportError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refusal) && refusal.RetryAfter > 0:
		return &backoff.RetryAfterError{Duration: refusal.RetryAfter}
	case errors.As(err, &transport):
		t.lost = t.lost || transport.sent
		return err
	default:
		return backoff.Permanent(err)
	}
}

// result returns the error of the call as a whole.
func (t *tries) result() error {
	var refusal *Error
	var transport *transportError
	isRefusal := errors.As(t.last, &refusal)
	switch {
	case t.last == nil:
		return nil
	case t.call.changes && t.lost && !(isRefusal && refusal.proved()):
		return &UnknownError{t.last}
	case errors.As(t.last, &transport):
		return &UnavailableError{transport.err}
	default:
		return t.last
	}
}

// once makes one try.
func (c *Client) once(ctx context.Context, call call, body []byte) error {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), call, body)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &transportError{err, connected.Load()}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return &transportError{fmt.Errorf("read response: %w", err), true}
	}
	if len(content) > maxResponseBytes {
		return fmt.Errorf("response is larger than %d bytes", maxResponseBytes)
	}
	if response.StatusCode/100 != 2 {
		return refusal(response.StatusCode, content)
	}
	return decode(call, content)
}

// request builds the HTTP request of a try.
func (c *Client) request(ctx context.Context, call call, body []byte) (*http.Request, error) {
	target := strings.TrimRight(c.base.String(), "/") + "/v1"
	for _, segment := range call.path {
		if strings.Trim(segment, ".") == "" {
			return nil, fmt.Errorf("%q cannot be part of a request path", segment)
		}
		target += "/" + url.PathEscape(segment)
	}
	if len(call.query) > 0 {
		target += "?" + call.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, call.method, target, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Accept", "application/json")
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if c.options.Key != "" {
		request.Header.Set(KeyHeader, c.options.Key)
	}
	if c.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	return request, nil
}

// decode reads a successful answer. An answer that cannot be read was cut or is
// not an entry's, so it counts as lost.
func decode(call call, content []byte) error {
	if call.into == nil {
		return nil
	}
	if err := json.Unmarshal(content, call.into); err != nil {
		return &transportError{fmt.Errorf("decode response: %w", err), true}
	}
	return nil
}

// errorBody is the answer of an entry that refuses a request.
type errorBody struct {
	Outcome      fleet.Outcome  `json:"outcome"`
	Reason       fleet.Reason   `json:"reason"`
	Detail       string         `json:"detail"`
	RetryAfterMS int64          `json:"retryAfterMS"`
	Revision     fleet.Revision `json:"revision"`
	Findings     []Finding      `json:"findings"`
}

// refusal returns the error of an answer that is not a success. Only an entry
// can say that a request was not run: any other answer of status 5xx, such as
// one of a load balancer, leaves that open.
func refusal(status int, content []byte) error {
	var body errorBody
	err := json.Unmarshal(content, &body)
	if status >= http.StatusInternalServerError && (err != nil || body.Outcome != fleet.OutcomeNotRun) {
		text := strings.TrimSpace(string(content[:min(len(content), 200)]))
		return &transportError{fmt.Errorf("the server answered %d %s: %s", status, http.StatusText(status), text), true}
	}
	return &Error{
		Status:     status,
		Outcome:    body.Outcome,
		Reason:     body.Reason,
		Detail:     body.Detail,
		RetryAfter: time.Duration(body.RetryAfterMS) * time.Millisecond,
		Revision:   body.Revision,
		Findings:   body.Findings,
	}
}
