package apply_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/backing"
	"amaranthfork.example/config"
)

// traffic counts the calls that one node makes, and their bytes: keys, values and
// the bodies of peer calls, without the headers of the transport.
type traffic struct {
	reads, writes, calls int
	bytes                int
}

func (t *traffic) rows(rows ...backing.Row) {
	t.reads++
	for _, r := range rows {
		t.bytes += len(r.Key) + len(r.Value) + 8
	}
}

func (t *traffic) commit(txn backing.Txn) {
	t.writes++
	t.bytes += len(txn.ID)
	for _, c := range txn.Conditions {
		t.bytes += len(c.Key) + 8
	}
	for _, w := range txn.Writes {
		t.bytes += len(w.Key) + len(w.Value)
	}
}

func (t *traffic) call(method string, req, resp any) {
	t.calls++
	t.bytes += len(method)
	for _, body := range []any{req, resp} {
		encoded, _ := cbor.Marshal(body) // cannot fail: the call has encoded the same value
		t.bytes += len(encoded)
	}
}

// reportTraffic runs the fleet for a time and reports the mean traffic of a node.
func reportTraffic(b *testing.B, c *cluster, d time.Duration) {
	for _, n := range c.nodes {
		n.traffic = traffic{}
	}
	c.advance(d)
	var sum traffic
	for _, n := range c.nodes {
		sum.reads += n.traffic.reads
		sum.writes += n.traffic.writes
		sum.calls += n.traffic.calls
		sum.bytes += n.traffic.bytes
	}
	nodeSeconds := float64(len(c.nodes)) * d.Seconds()
	b.ReportMetric(float64(sum.reads)/nodeSeconds, "reads/s")
	b.ReportMetric(float64(sum.writes)/nodeSeconds, "writes/s")
	b.ReportMetric(float64(sum.calls)/nodeSeconds, "calls/s")
	b.ReportMetric(float64(sum.bytes)/nodeSeconds, "bytes/s")
}

// fleetSizes are the numbers of entries and data centres of the test fleets.
var fleetSizes = []struct{ entries, dataCentres int }{{3, 3}, {9, 4}, {30, 10}, {100, 20}}

// BenchmarkTraffic reports the calls that one entry makes, by the number of
// members. In an outage, an entry on average also answers as many peer calls as
// it makes.
func BenchmarkTraffic(b *testing.B) {
	for _, size := range fleetSizes {
		for _, state := range []string{"idle", "outage", "one reaches the store"} {
			b.Run(fmt.Sprintf("%s/%d members", state, size.entries), func(b *testing.B) {
				for b.Loop() {
					c := start(b, size.entries, size.dataCentres)
					c.advance(10 * time.Second)
					switch state {
					case "outage":
						c.storeDown(true, all)
					case "one reaches the store":
						c.storeDown(true, func(n *node) bool { return n != c.nodes[1] })
					}
					c.advance(5 * time.Second)
					reportTraffic(b, c, 20*time.Second)
					if got := len(c.fresh()); got != size.entries {
						b.Fatalf("%d of %d entries act", got, size.entries)
					}
				}
			})
		}
	}
}

// BenchmarkApply reports the time and the peer calls of a change that all members
// confirm.
func BenchmarkApply(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("%d members", size.entries), func(b *testing.B) {
			c := start(b, size.entries, size.dataCentres)
			calls := c.calls.Load()
			n := 0
			for b.Loop() {
				n++
				coordinator := c.nodes[n%len(c.nodes)]
				op, err := coordinator.apply.Begin(context.Background(), config.Change{ID: fmt.Sprint(n), Base: coordinator.view.Revision(),
					Put: []config.File{{Name: "z.yaml", Content: make([]byte, 300)}}})
				if err != nil {
					b.Fatal(err)
				}
				if result, err := op.Step(context.Background()); err != nil || !result.Accepted {
					b.Fatalf("%+v, %v", result, err)
				}
				op.Close()
			}
			b.ReportMetric(float64(c.calls.Load()-calls)/float64(n), "calls/op")
		})
	}
}
