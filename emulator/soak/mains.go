package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"amaranthfork.example/emulator/tableservice"
	"amaranthfork.example/emulator/worker"
	"amaranthfork.example/sched/store"
)

// operatorRow is a row that an operator writes.
type operatorRow struct {
	Name  string `json:"name"`
	Value any    `json:"value"`
}

// serverRow is the row by which a worker is found.
type serverRow struct {
	Pool        string         `json:"service"`
	Address     string         `json:"address"`   // for callers in one data centre
	Addresses   []string       `json:"addresses"` // by the data centre of the caller
	DataCentre  string         `json:"zone"`
	Version     string         `json:"version"`
	Slots       int            `json:"slots"`
	ColdMS      int            `json:"cold_remaining_ms"`
	State       string         `json:"state"`
	Capacity    map[string]int `json:"capacity"`
	Labels      []string       `json:"labels"`
	Machine     string         `json:"machine"`
	Incarnation int64          `json:"born"`
	Sequence    int64          `json:"seq"`
}

const (
	heartbeat      = 1500 * time.Millisecond
	serverTimeout  = 3 * heartbeat // without a heartbeat
	workerMilliCPU = 8000
)

// lockedRandom returns a source of numbers from 0 to 1 for several goroutines.
func lockedRandom(seed int64) func() float64 {
	var mu sync.Mutex
	random := rand.New(rand.NewSource(seed))
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
}

// endWithInput ends the process when its standard input ends, which its parent holds
// open.
func endWithInput() {
	_, _ = io.Copy(io.Discard, os.Stdin) // any end will do
	os.Exit(0)
}

// ServiceOptions are the addresses of the emulated table service.
type ServiceOptions struct {
	Listen []string // for entries, by data centre
	Admin  string   // for the soak and the workers
	Seed   int64
}

// ServiceMain runs the table service until its standard input ends.
func ServiceMain(o ServiceOptions) error {
	go endWithInput()
	s := tableservice.New(lockedRandom(o.Seed))
	mux := http.NewServeMux()
	handle := func(path string, f func(*json.Decoder) error) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			if err := f(json.NewDecoder(r.Body)); err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
			}
		})
	}
	handle("/faults", func(d *json.Decoder) error {
		var f tableservice.Faults
		err := d.Decode(&f)
		s.SetFaults(f)
		return err
	})
	handle("/forget", func(*json.Decoder) error { s.DropHistory(); return nil })
	handle("/row", func(d *json.Decoder) error {
		var row operatorRow
		if err := d.Decode(&row); err != nil {
			return err
		}
		return putRow(s, store.Key{Table: "op", Name: row.Name}, row.Value)
	})
	var mu sync.Mutex
	seen := map[string]time.Time{}
	handle("/server", func(d *json.Decoder) error {
		var row serverRow
		if err := d.Decode(&row); err != nil {
			return err
		}
		mu.Lock()
		seen[row.Machine] = time.Now()
		mu.Unlock()
		return putRow(s, store.Key{Table: "servers", Name: row.Machine}, row)
	})
	go func() {
		for range time.Tick(heartbeat / 3) {
			mu.Lock()
			for name, at := range seen {
				if time.Since(at) > serverTimeout {
					key := store.Key{Table: "servers", Name: name}
					if _, err := s.Rows().Commit(context.Background(), store.Txn{Deletes: []store.Key{key}}); err == nil {
						delete(seen, name)
					}
				}
			}
			mu.Unlock()
		}
	}()
	failed := make(chan error, 1)
	go func() { failed <- http.ListenAndServe(o.Admin, mux) }()
	for i, address := range o.Listen {
		go func() { failed <- http.ListenAndServe(address, s.Handler(viewFrom(i))) }()
	}
	return <-failed
}

// viewFrom returns the view of callers in a data centre: workers have the address at which
// they are reached from there.
func viewFrom(dataCentre int) tableservice.View {
	return func(row store.Row) []byte {
		var server serverRow
		if row.Table != "servers" || json.Unmarshal(row.Value, &server) != nil || dataCentre >= len(server.Addresses) {
			return row.Value
		}
		server.Address = server.Addresses[dataCentre]
		value, err := json.Marshal(server)
		if err != nil {
			return row.Value
		}
		return value
	}
}

func putRow(s *tableservice.Service, key store.Key, value any) error {
	b, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = s.Rows().Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: b}}})
	return err
}

// WorkerOptions are the parameters of an emulated worker.
type WorkerOptions struct {
	ID, Pool, Zone string
	Listen         string   // for entries
	Control        string   // for the soak
	Advertise      []string // addresses in the discovery table, by the data centre of the caller
	Service        string   // address of the service's interface for workers
	Rate           float64
	MaxLease       time.Duration
	RegisterAfter  time.Duration // until the first row in the discovery table
	Seed           int64
}

// WorkerMain runs a worker, which writes its events to standard output, until its
// standard input ends.
func WorkerMain(o WorkerOptions) error {
	go endWithInput()
	var mu sync.Mutex
	out := json.NewEncoder(os.Stdout)
	w := worker.New(worker.Options{ID: o.ID, MilliCPU: workerMilliCPU, ClockRate: o.Rate, MaxLease: o.MaxLease, Plan: PlanRun, Random: lockedRandom(o.Seed),
		Report: func(e worker.Event) {
			mu.Lock()
			defer mu.Unlock()
			_ = out.Encode(e) // fails only if the soak has ended
		}})
	var cut atomic.Bool
	go register(o, w, &cut)
	control := http.NewServeMux()
	handle := func(path string, f func(*json.Decoder) error) {
		control.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) {
			if err := f(json.NewDecoder(r.Body)); err != nil {
				http.Error(rw, err.Error(), http.StatusBadRequest)
			}
		})
	}
	handle("/late", func(d *json.Decoder) error {
		var fraction float64
		err := d.Decode(&fraction)
		w.SetLateOrders(fraction)
		return err
	})
	handle("/cut", func(d *json.Decoder) error {
		var isCut bool
		err := d.Decode(&isCut)
		cut.Store(isCut)
		return err
	})
	go func() { fmt.Fprintln(os.Stderr, http.ListenAndServe(o.Control, control)); os.Exit(1) }()
	return http.ListenAndServe(o.Listen, w.Handler())
}

// register renews the worker's row in the discovery table, unless it is cut off from it.
func register(o WorkerOptions, w *worker.Worker, cut *atomic.Bool) {
	row := serverRow{Pool: o.Pool, Address: o.Advertise[0], Addresses: o.Advertise, DataCentre: o.Zone, Version: "1", Slots: 8, State: "ready",
		Capacity: map[string]int{"cpu": workerMilliCPU, "mem_mb": 16000, "gpu": 0}, Labels: []string{"std", "rack-" + o.Zone}, Machine: o.ID, Incarnation: w.Incarnation()}
	time.Sleep(o.RegisterAfter)
	for {
		row.Sequence++
		if cut.Load() {
			time.Sleep(heartbeat)
			continue
		}
		if err := post(o.Service, "/server", row); err != nil {
			fmt.Fprintln(os.Stderr, "not registered:", err)
		}
		time.Sleep(heartbeat)
	}
}
