package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"amaranthfork.example/entry/local"
)

// Direct compares requests through an entry with requests straight to the
// endpoint.
type Direct struct {
	Requests                   int
	StraightP50, StraightP99   time.Duration
	ThroughP50, ThroughP99     time.Duration
	RateThrough, RateStraight  float64 // requests a second of one caller
	FailedThrough, FailedOther int
}

// MeasureDirect alternates requests through an entry and straight to an
// endpoint, so that both see the same load of the machine.
func MeasureDirect(ctx context.Context, requests int) (Direct, error) {
	size := Size{DataCentres: 1, Entries: 1, Workers: 4, Pools: 1, Teams: 1}
	r, err := start(ctx, size, local.DefaultOptions())
	if err != nil {
		return Direct{}, err
	}
	time.Sleep(settle)
	listing, err := r.Platform.VMList.List(ctx)
	if err != nil {
		return Direct{}, err
	}
	straight := "http://" + listing.VMs[0].Address + "/item/7"
	through := r.Entries[0].URL + "/v1/workspaces/direct/direct/item/7"
	d := Direct{Requests: requests}
	a, b := make([]time.Duration, 0, requests), make([]time.Duration, 0, requests)
	for range requests {
		took, ok := get(ctx, straight)
		a = append(a, took)
		if !ok {
			d.FailedOther++
		}
		took, ok = get(ctx, through)
		b = append(b, took)
		if !ok {
			d.FailedThrough++
		}
	}
	d.RateStraight, d.RateThrough = rate(a), rate(b)
	d.StraightP50, d.StraightP99 = quantile(a, 0.50), quantile(a, 0.99)
	d.ThroughP50, d.ThroughP99 = quantile(b, 0.50), quantile(b, 0.99)
	return d, r.Stop()
}

func get(ctx context.Context, url string) (time.Duration, bool) {
	began := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return time.Since(began), false
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return time.Since(began), err == nil && response.StatusCode == http.StatusOK
}

func rate(times []time.Duration) float64 {
	var total time.Duration
	for _, t := range times {
		total += t
	}
	return float64(len(times)) / total.Seconds()
}

// quantile returns the value below which the part q of the times lies.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// WriteDirect writes the comparison.
func WriteDirect(w io.Writer, d Direct) {
	_, _ = fmt.Fprintf(w, "requests %d, failed straight %d, through %d\n", d.Requests, d.FailedOther, d.FailedThrough)
	_, _ = fmt.Fprintf(w, "straight: p50 %.3f ms, p99 %.3f ms\nthrough:  p50 %.3f ms, p99 %.3f ms\nadded:    p50 %.3f ms, p99 %.3f ms\n",
		ms(d.StraightP50), ms(d.StraightP99), ms(d.ThroughP50), ms(d.ThroughP99),
		ms(d.ThroughP50-d.StraightP50), ms(d.ThroughP99-d.StraightP99))
}
