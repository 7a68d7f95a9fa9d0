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
	Address     string         `json:"address"`
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
	Listen string // for entries
	Admin  string // for the soak and the workers
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
	go func() { fmt.Fprintln(os.Stderr, http.ListenAndServe(o.Admin, mux)); os.Exit(1) }()
	return http.ListenAndServe(o.Listen, s.Handler())
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
	Listen         string // for entries
	Control        string // for the soak
	Advertise      string // address in the discovery table
	Service        string // address of the service's interface for workers
	Rate           float64
	Seed           int64
}

// WorkerMain runs a worker, which writes its events to standard output, until its
// standard input ends.
func WorkerMain(o WorkerOptions) error {
	go endWithInput()
	var mu sync.Mutex
	out := json.NewEncoder(os.Stdout)
	w := worker.New(worker.Options{ID: o.ID, MilliCPU: workerMilliCPU, ClockRate: o.Rate, Plan: PlanRun, Random: lockedRandom(o.Seed),
		Report: func(e worker.Event) {
			mu.Lock()
			defer mu.Unlock()
			_ = out.Encode(e) // fails only if the soak has ended
		}})
	go register(o, w)
	control := http.NewServeMux()
	control.HandleFunc("POST /late", func(rw http.ResponseWriter, r *http.Request) {
		var fraction float64
		if err := json.NewDecoder(r.Body).Decode(&fraction); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		w.SetLateOrders(fraction)
	})
	go func() { fmt.Fprintln(os.Stderr, http.ListenAndServe(o.Control, control)); os.Exit(1) }()
	return http.ListenAndServe(o.Listen, w.Handler())
}

// register renews the worker's row in the discovery table.
func register(o WorkerOptions, w *worker.Worker) {
	row := serverRow{Pool: o.Pool, Address: o.Advertise, DataCentre: o.Zone, Version: "1", Slots: 8, State: "ready",
		Capacity: map[string]int{"cpu": workerMilliCPU, "mem_mb": 16000, "gpu": 0}, Labels: []string{"std", "rack-" + o.Zone}, Machine: o.ID, Incarnation: w.Incarnation()}
	for {
		row.Sequence++
		if err := post(o.Service, "/server", row); err != nil {
			fmt.Fprintln(os.Stderr, "not registered:", err)
		}
		time.Sleep(heartbeat)
	}
}
