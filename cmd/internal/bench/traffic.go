package bench

import (
	"net/http"
	"strings"
	"sync"
)

// traffic counts the bytes of request and answer bodies by path.
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

// wrap counts what passes through a handler.
func (t *traffic) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counted := &countingWriter{ResponseWriter: w}
		next.ServeHTTP(counted, r)
		t.add(r.URL.Path, r.ContentLength+counted.n)
	})
}

// sums returns the bytes of the store, the VM list and the workers.
func (t *traffic) sums() (store, list, workers int64) {
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

type countingWriter struct {
	http.ResponseWriter
	n int64
}

func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.n += int64(n)
	return n, err
}
