package direct

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"

	"amaranthfork.example/node/intake"
)

var (
	errNoLength      = errors.New("response has neither a Content-Length nor chunked encoding, so a truncation could not be detected")
	errUpgrade       = errors.New("endpoint switched protocols (101), which is not supported")
	errWriteToCaller = errors.New("write response to caller")
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardedHeaders returns a copy of h without the hop-by-hop headers and without
// those that the Connection header names.
func forwardedHeaders(h http.Header) http.Header {
	h = h.Clone()
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	return h
}

// onceBody is a request body that the transport cannot rewind. This prevents the
// automatic retries of net/http, which would send a non-idempotent request again.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// outgoing returns the request to send to the endpoint at address (host:port).
func (c *call) outgoing(ctx context.Context, address string) *http.Request {
	header := forwardedHeaders(c.request.Header)
	for _, name := range c.forwarder.options.StripHeaders {
		header.Del(name)
	}
	if _, ok := header["User-Agent"]; !ok {
		header.Set("User-Agent", "") // otherwise the transport adds its own
	}
	target := &url.URL{
		Scheme: "http", Host: address,
		Path: c.path, RawPath: c.target.Path, RawQuery: c.request.URL.RawQuery,
	}
	req := &http.Request{
		Method:        c.request.Method,
		URL:           target,
		Host:          c.request.Host,
		Header:        header,
		Body:          onceBody{bytes.NewReader(c.body)},
		ContentLength: int64(len(c.body)),
	}
	if len(c.body) == 0 && c.idempotent {
		req.Body = http.NoBody
	}
	return req.WithContext(ctx)
}

// bufferedBytes returns how much of a response is read before any of it is written: nothing
// while callers' requests hold all the memory that they may.
func (c *call) bufferedBytes(resp *http.Response) int64 {
	limit := c.forwarder.options.MaxBufferedBytes
	if resp.ContentLength >= 0 {
		limit = min(limit, resp.ContentLength)
	}
	if err := intake.Hold(c.request, limit); err != nil {
		return 0
	}
	return limit
}

// relayResponse reads the response completely, or up to bufferedBytes, before it
// writes anything to the caller. Up to that point an error leaves w untouched.
func (c *call) relayResponse(w http.ResponseWriter, resp *http.Response) error {
	hasBody := c.request.Method != http.MethodHead && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return errUpgrade
	}
	if hasBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errNoLength
	}
	limit := int64(0)
	if hasBody {
		limit = c.bufferedBytes(resp)
	}
	var start bytes.Buffer
	if resp.ContentLength > 0 && resp.ContentLength <= limit {
		start.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	n, err := io.Copy(&start, io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return fmt.Errorf("read response body: %w", err)
	}
	complete := n <= limit
	copyHeader(w.Header(), forwardedHeaders(resp.Header))
	if complete && hasBody {
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	w.WriteHeader(resp.StatusCode)
	return c.writeResponse(w, &start, resp.Body, complete)
}

// writeResponse writes the buffered start of the body and, unless that was the
// whole body, streams the rest.
func (c *call) writeResponse(w http.ResponseWriter, start *bytes.Buffer, rest io.Reader, complete bool) error {
	c.truncated = true // until everything is written
	if _, err := w.Write(start.Bytes()); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return fmt.Errorf("%w: %w", errWriteToCaller, err)
	}
	if !complete {
		if err := stream(w, rest); err != nil {
			return err
		}
	}
	c.truncated = false
	return nil
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// stream copies the rest of a response body. rest returns an error if the body is
// shorter than its Content-Length or lacks its last chunk.
func stream(w io.Writer, rest io.Reader) error {
	buffer := make([]byte, 64<<10)
	for {
		n, err := rest.Read(buffer)
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return fmt.Errorf("%w: %w", errWriteToCaller, werr)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read response body: %w", err)
		}
	}
}
