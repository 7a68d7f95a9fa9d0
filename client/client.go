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
	// KeyHeader is the HTTP header that carries a team's key, keyid.secret.
	KeyHeader = "Amaranth-Key"

	maxResponseBytes = 64 << 20
	requestTimeout   = 30 * time.Second // of one try; longer than jobWaitTimeout
	jobWaitTimeout   = 20 * time.Second // how long an entry may delay its answer to a wait for a job

	defaultMaxTries = 5
	defaultMinPause = 200 * time.Millisecond
	defaultMaxPause = 2 * time.Second
)

// Options configure a client. Only BaseURL is required. Requests carry the Key and
// the Token that are set.
type Options struct {
	BaseURL   string            // for example https://entry.example:8443; a path is kept
	Key       string            // keyid.secret of a team
	Token     string            // operator token
	CAFile    string            // PEM file of the certificates to trust instead of the system's
	Transport http.RoundTripper // for tests; if it is set, CAFile is ignored
	MaxTries  int               // upper limit of tries of one request, 5 if 0
	MinPause  time.Duration     // mean pause before the second try and pause between waits for a job, 200 ms if 0
	MaxPause  time.Duration     // upper limit of the mean pause between tries, 2 s if 0
}

// Client calls the HTTP API. It is safe for concurrent use.
//
// Every request is safe to repeat, because changes carry an id that the caller
// or the client has chosen. The client repeats a request with backoff when no entry
// answered, and after the time that an entry gave when it refused the request.
// Errors are *Error, *UnavailableError and, for requests that change something,
// *UnknownError.
type Client struct {
	base    *url.URL
	options Options
	http    *http.Client
}

// New returns a client. It returns an error if BaseURL is not an HTTP URL, or if
// CAFile cannot be read or has no certificate.
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
	o.MinPause = cmp.Or(o.MinPause, defaultMinPause)
	o.MaxPause = cmp.Or(o.MaxPause, defaultMaxPause)
	return &Client{base: base, options: o, http: &http.Client{
		Transport: transport,
		Timeout:   requestTimeout,
		// A redirect would carry the key to another host.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}, nil
}

// transport returns the HTTP transport that the options ask for.
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

// apiCall is one request to the API, with all its tries.
type apiCall struct {
	method   string
	path     []string // unescaped segments after /v1
	query    url.Values
	body     any  // nil for none
	mutating bool // the request changes something, so a lost answer leaves its outcome unknown
	response any  // pointer to decode the answer into; nil to ignore the answer
}

// do makes a call. It tries again while a later try may succeed.
func (c *Client) do(ctx context.Context, call apiCall) error {
	var body []byte
	if call.body != nil {
		var err error
		if body, err = json.Marshal(call.body); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	t := retryState{call: call}
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = c.options.MinPause, c.options.MaxPause
	_, _ = backoff.Retry(ctx, func() (struct{}, error) { // t.result returns the error
		return struct{}{}, t.record(c.try(ctx, call, body))
	}, backoff.WithBackOff(pauses), backoff.WithMaxTries(uint(c.options.MaxTries)))
	return t.result()
}

// retryState holds the outcomes of the tries of one call.
type retryState struct {
	call        apiCall
	lastErr     error
	unconfirmed bool // a try without an answer may have taken effect
}

// record stores the error of a try and returns the error that backoff.Retry acts on:
// nil ends the tries, a *backoff.RetryAfterError sets the time of the next one, a
// permanent error prevents it, and any other error leads to a try after a backoff.
func (t *retryState) record(err error) error {
	t.lastErr = err
	var refusal *Error
	var transport *transportError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refusal) && refusal.RetryAfter > 0:
		return &backoff.RetryAfterError{Duration: refusal.RetryAfter}
	case errors.As(err, &transport):
		t.unconfirmed = t.unconfirmed || transport.mayHaveArrived
		return err
	default:
		return backoff.Permanent(err)
	}
}

// result returns the error of the call after its last try.
func (t *retryState) result() error {
	var refusal *Error
	var transport *transportError
	isRefusal := errors.As(t.lastErr, &refusal)
	switch {
	case t.lastErr == nil:
		return nil
	case t.call.mutating && t.unconfirmed && !(isRefusal && refusal.provesNoEffect()):
		return &UnknownError{t.lastErr}
	case errors.As(t.lastErr, &transport):
		return &UnavailableError{transport.err}
	default:
		return t.lastErr
	}
}

// try makes one try. Its error is a *transportError if there is no answer from an
// entry.
func (c *Client) try(ctx context.Context, call apiCall, body []byte) error {
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
		return responseError(response.StatusCode, content)
	}
	return decode(call, content)
}

// request returns the HTTP request of a try.
func (c *Client) request(ctx context.Context, call apiCall, body []byte) (*http.Request, error) {
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

// decode decodes a successful answer. One that cannot be decoded was cut or is not
// an entry's, so it counts as lost.
func decode(call apiCall, content []byte) error {
	if call.response == nil {
		return nil
	}
	if err := json.Unmarshal(content, call.response); err != nil {
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

// responseError returns the error of an answer that is not a success. Only an entry
// can state that a request was not run. Any other answer with status 5xx, such as
// one from a load balancer, leaves the outcome unknown and becomes a
// *transportError.
func responseError(status int, content []byte) error {
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
