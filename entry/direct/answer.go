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
)

var (
	errNoLength = errors.New("the answer has neither a length nor chunks, so that its end is not certain")
	errUpgrade  = errors.New("the endpoint switched to another protocol")
	errCaller   = errors.New("the caller does not take the answer")
)

// hopHeaders belong to one connection and are not forwarded.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardedHeaders returns a copy without the headers of one connection.
func forwardedHeaders(h http.Header) http.Header {
	h = h.Clone()
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	return h
}

// onceBody is a request body that the transport cannot rewind, which keeps it
// from sending a non-idempotent request again by itself.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// outgoing returns the request to an endpoint.
func (c *call) outgoing(ctx context.Context, address string) *http.Request {
	header := forwardedHeaders(c.request.Header)
	for _, name := range c.forwarder.options.StripHeaders {
		header.Del(name)
	}
	if _, ok := header["User-Agent"]; !ok {
		header.Set("User-Agent", "") // keeps the transport from adding its own
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

// passOn writes the answer to the caller, after it has been read whole or up to
// the limit of the buffer.
func (c *call) passOn(w http.ResponseWriter, resp *http.Response) error {
	hasBody := c.request.Method != http.MethodHead && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return errUpgrade
	}
	if hasBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errNoLength
	}
	limit := c.forwarder.options.MaxBuffered
	var start bytes.Buffer
	if resp.ContentLength > 0 && resp.ContentLength <= limit {
		start.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	n, err := io.Copy(&start, io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return fmt.Errorf("the answer broke off: %w", err)
	}
	whole := n <= limit
	copyHeader(w.Header(), forwardedHeaders(resp.Header))
	if whole && hasBody {
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	w.WriteHeader(resp.StatusCode)
	return c.write(w, &start, resp.Body, whole)
}

// write writes the start of the answer and streams the rest, if there is more.
func (c *call) write(w http.ResponseWriter, start *bytes.Buffer, rest io.Reader, whole bool) error {
	c.broken = true // until all is written
	if _, err := w.Write(start.Bytes()); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	if !whole {
		if err := stream(w, rest); err != nil {
			return err
		}
	}
	c.broken = false
	return nil
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// stream copies the rest of an answer. The reader returns an error if the answer
// is shorter than its length or lacks its last chunk.
func stream(w io.Writer, rest io.Reader) error {
	buffer := make([]byte, 64<<10)
	for {
		n, err := rest.Read(buffer)
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return fmt.Errorf("%w: %w", errCaller, werr)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("the answer broke off: %w", err)
		}
	}
}
