package pool

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Guards against a pool that asks for several times the VMs that it needs because the
// estimates of its jobs are off by a factor of 2.5 either way (design-render and
// photo-proof of lantern-sched-large): the sum of the expected run times has to match
// the sum of the real ones, also when the estimates are good.
func TestExpectedRunTimesMatchRealOnes(t *testing.T) {
	for _, test := range []struct {
		name             string
		estimateOff      float64 // standard deviation of the logarithm of estimate / run time
		runTimeSpread    float64 // the same for run times
		maxMeanLogError  float64 // of a prediction, once the model has learnt
		learnFrom, after int     // samples
	}{
		{"good estimates", 0.1, 0.5, 0.12, 300, 2000},
		{"estimates off by 2.5", 0.9, 0.5, 0.5, 300, 2000},
		{"equal run times", 0.9, 0.05, 0.15, 300, 2000},
	} {
		random := rand.New(rand.NewPCG(1, 2))
		var m *runTimeModel
		var expected, real, logError float64
		for i := range test.learnFrom + test.after {
			runTime := 1.3 * math.Exp(test.runTimeSpread*random.NormFloat64())
			estimate := runTime * math.Exp(test.estimateOff*random.NormFloat64())
			if m == nil {
				m = newRunTimeModel(math.Log(estimate))
			}
			if i >= test.learnFrom {
				prediction := m.predict(math.Log(estimate))
				expected += prediction
				real += runTime
				logError += math.Abs(math.Log(prediction / runTime))
			}
			m.observe(estimate, runTime)
		}
		if ratio := expected / real; ratio < 0.85 || ratio > 1.15 {
			t.Errorf("%s: expected work is %.2f of the real work, want 0.85 to 1.15", test.name, ratio)
		}
		if mean := logError / float64(test.after); mean > test.maxMeanLogError {
			t.Errorf("%s: predictions are off by a factor of e^%.2f on average, want at most e^%.2f", test.name, mean, test.maxMeanLogError)
		}
	}
}

// Guards against an objective by the mean run time of a step's tasks (the queues of
// rml-quimper-grown, where the longest of a step's tasks takes 1.25 and 1.66 times the mean):
// half of the jobs that were in time were held for late ones.
func TestLongestOfAStepIsExpected(t *testing.T) {
	for _, deviation := range []float64{0.02, 0.14, 0.28, 0.5} {
		random := rand.New(rand.NewPCG(1, 2))
		spread := taskSpread{deviation: initialDeviation}
		var real, expected float64
		for i := range 2000 {
			n := 1 + random.IntN(32)
			longest, mean := 0.0, 0.0
			for range n {
				runTime := math.Exp(deviation * random.NormFloat64())
				longest, mean = max(longest, runTime), mean+runTime/float64(n)
			}
			if i >= 200 {
				real += longest
				expected += mean * spread.longestFactor(n)
			}
			spread.observe(n, longest, mean)
		}
		if ratio := expected / real; ratio < 0.93 || ratio > 1.07 {
			t.Errorf("deviation %.2f: the expected longest run times are %.2f of the real ones", deviation, ratio)
		}
	}
}
