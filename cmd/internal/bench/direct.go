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

// Direct compares requests through an entry ("through") with requests that
// bypass it and go straight to the endpoint ("straight").
type Direct struct {
	Requests                            int
	StraightP50, StraightP99            time.Duration
	ThroughP50, ThroughP99              time.Duration
	ThroughPerSecond, StraightPerSecond float64 // requests of one caller, sent one after the other
	FailedThrough, FailedStraight       int
}

// MeasureDirect sends the given number of requests on each of the two paths. It
// alternates between them, so that both are measured under the same load of the
// machine.
func MeasureDirect(ctx context.Context, requests int) (Direct, error) {
	size := Size{DataCentres: 1, Entries: 1, Workers: 4, Pools: 1, Teams: 1}
	f, err := start(ctx, size, local.DefaultOptions())
	if err != nil {
		return Direct{}, err
	}
	time.Sleep(settleTime)
	listing, err := f.Platform.VMList.List(ctx)
	if err != nil {
		return Direct{}, err
	}
	straight := "http://" + listing.VMs[0].Address + "/item/7"
	through := f.Entries[0].URL + "/v1/workspaces/direct/direct/item/7"
	result := Direct{Requests: requests}
	straightTimes, throughTimes := make([]time.Duration, 0, requests), make([]time.Duration, 0, requests)
	for range requests {
		took, ok := timedGet(ctx, straight)
		straightTimes = append(straightTimes, took)
		if !ok {
			result.FailedStraight++
		}
		took, ok = timedGet(ctx, through)
		throughTimes = append(throughTimes, took)
		if !ok {
			result.FailedThrough++
		}
	}
	result.StraightPerSecond, result.ThroughPerSecond = requestsPerSecond(straightTimes), requestsPerSecond(throughTimes)
	result.StraightP50, result.StraightP99 = quantile(straightTimes, 0.50), quantile(straightTimes, 0.99)
	result.ThroughP50, result.ThroughP99 = quantile(throughTimes, 0.50), quantile(throughTimes, 0.99)
	return result, f.Stop()
}

// timedGet sends a GET request and returns how long it took and whether it
// succeeded.
func timedGet(ctx context.Context, url string) (time.Duration, bool) {
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

// requestsPerSecond returns the rate of requests that are sent one after the
// other and take the given times.
func requestsPerSecond(times []time.Duration) float64 {
	var total time.Duration
	for _, t := range times {
		total += t
	}
	return float64(len(times)) / total.Seconds()
}

// quantile returns the time below which the given fraction of the times lies, 0
// if there are none.
func quantile(times []time.Duration, fraction float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)]
}

// WriteDirect writes the comparison as text.
func WriteDirect(w io.Writer, result Direct) {
	_, _ = fmt.Fprintf(w, "requests %d, failed straight %d, through %d\n", result.Requests, result.FailedStraight, result.FailedThrough)
	_, _ = fmt.Fprintf(w, "straight: p50 %.3f ms, p99 %.3f ms\nthrough:  p50 %.3f ms, p99 %.3f ms\nadded:    p50 %.3f ms, p99 %.3f ms\n",
		ms(result.StraightP50), ms(result.StraightP99), ms(result.ThroughP50), ms(result.ThroughP99),
		ms(result.ThroughP50-result.StraightP50), ms(result.ThroughP99-result.StraightP99))
}
