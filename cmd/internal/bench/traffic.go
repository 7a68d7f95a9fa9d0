package bench

import (
	"net/http"
	"strings"
	"sync"
)

// traffic counts the bytes of request and response bodies by URL path.
type traffic struct {
	mu    sync.Mutex
	bytes map[string]int64
}

func (t *traffic) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bytes = map[string]int64{}
}

func (t *traffic) add(path string, n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bytes == nil {
		t.bytes = map[string]int64{}
	}
	t.bytes[path] += max(n, 0)
}

// countBodies wraps a handler and counts the bodies that pass through it.
func (t *traffic) countBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counted := &countingWriter{ResponseWriter: w}
		next.ServeHTTP(counted, r)
		t.add(r.URL.Path, r.ContentLength+counted.bytes)
	})
}

// bytesByService returns the bytes exchanged with the table service and object
// store, the VM list and the workers.
func (t *traffic) bytesByService() (store, list, workers int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for path, n := range t.bytes {
		switch {
		case strings.Contains(path, "/workers"):
			workers += n
		case strings.Contains(path, "/vms"):
			list += n
		default:
			store += n
		}
	}
	return store, list, workers
}

// countingWriter counts the bytes of a response body.
type countingWriter struct {
	http.ResponseWriter
	bytes int64
}

func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.bytes += int64(n)
	return n, err
}
