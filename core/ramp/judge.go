package ramp

import (
	"math"
	"time"
)

const (
	// judgeWindow is the time over which attempts are tested together. Attempts at the same moment are not independent, so
	// one window alone doesn't reject a release.
	judgeWindow = 300 * time.Millisecond
	// rejectLimit is the log-likelihood ratio at which a test rejects a release.
	rejectLimit = 6.0
	// maxWindowRatio bounds what one window adds.
	maxWindowRatio = rejectLimit / 2
	// controlHalfLife is the time in which the weight of earlier answers of the old release is halved while it answers.
	controlHalfLife = 4 * time.Second
	// minControl is the number of answers of the old release from which a route has a control of its own.
	minControl = 12
)

// bound holds the rates of an indicator that a test tells apart.
type bound struct {
	// A good release's rate may be factor times the control's plus margin, and a bad one's is gap above that.
	factor, margin, gap float64
	// needsControl is set if nothing is tested without answers of the old release.
	needsControl bool
}

var bounds = [indicators]bound{
	Failed:    {factor: 2, margin: 0.03, gap: 0.12},
	SlowFirst: {factor: 1.5, margin: 0.06, gap: 0.2, needsControl: true},
	SlowWhole: {factor: 1.5, margin: 0.06, gap: 0.2, needsControl: true},
}

// maxGood bounds the rate of a good release, whatever the control's is.
const maxGood = 0.75

// ratio returns the log-likelihood ratio of "bad" against "good".
func (b bound) ratio(t Tally, control float64) float64 {
	good := min(b.factor*control+b.margin, maxGood)
	bad := good + b.gap
	return float64(t.Bad)*math.Log(bad/good) + float64(t.N-t.Bad)*math.Log((1-bad)/(1-good))
}

// control holds the decaying counts of the old release.
type control struct{ n, bad [indicators]float64 }

func (c *control) add(counts Counts, keep float64) {
	for i, t := range counts {
		if t.N > 0 {
			c.n[i], c.bad[i] = c.n[i]*keep+float64(t.N), c.bad[i]*keep+float64(t.Bad)
		}
	}
}

// cellTest is the test of one route; the empty route covers all.
type cellTest struct {
	window  Cell
	control control
	// sum is Page's cumulative sum of each indicator, never negative. It finds a release that turns bad at any time.
	sum [indicators]float64
}

// Reason is the test result for which a release is rolled back.
type Reason struct {
	// Route is empty if all routes together were tested.
	Route     string
	Indicator Indicator
	// New counts the answers of the release since the order, Control is the rate of the old release.
	New     Tally
	Control float64
}

// judge tests a release against the old one, with the counts of all entries.
type judge struct {
	tests map[string]*cellTest
	// seen counts the answers of the new release by route, oldAnswers those of the old one.
	seen       map[string]*Counts
	oldAnswers int
	testedAt   time.Time
}

func newJudge() judge { return judge{tests: map[string]*cellTest{}, seen: map[string]*Counts{}} }

// add adds counts to the window of a route and to that of all routes.
func (j *judge) add(c Cell) {
	j.oldAnswers += c.Old[Failed].N
	for _, route := range []string{c.Route, ""} {
		t, known := j.tests[route]
		if !known {
			if len(j.tests) >= maxRoutes && route != "" {
				continue
			}
			t = &cellTest{}
			j.tests[route], j.seen[route] = t, &Counts{}
		}
		t.window.Old.add(c.Old)
		t.window.New.add(c.New)
		j.seen[route].add(c.New)
	}
}

// test closes the window if it is over and returns the result that rejects the release, nil if none does.
func (j *judge) test(now time.Time) (reason *Reason) {
	elapsed := now.Sub(j.testedAt)
	if elapsed < judgeWindow {
		return nil
	}
	j.testedAt = now
	keep := math.Exp2(-min(elapsed, time.Second).Seconds() / controlHalfLife.Seconds())
	for _, t := range j.tests {
		t.control.add(t.window.Old, keep)
	}
	all := j.tests[""]
	for route, t := range j.tests {
		for i := range indicators {
			rate, ok := t.control.rate(i)
			if !ok && all != nil {
				rate, ok = all.control.rate(i)
			}
			if w := t.window.New[i]; w.N > 0 && (ok || !bounds[i].needsControl) {
				t.sum[i] = max(0, t.sum[i]+min(bounds[i].ratio(w, rate), maxWindowRatio))
			}
			if t.sum[i] >= rejectLimit && (reason == nil || route < reason.Route) {
				reason = &Reason{Route: route, Indicator: i, New: j.seen[route][i], Control: rate}
			}
		}
		t.window = Cell{}
	}
	return reason
}

// rate returns the rate of the old release; ok is false if there are too few answers.
func (c *control) rate(i Indicator) (rate float64, ok bool) {
	if c.n[i] < minControl {
		return 0, false
	}
	return c.bad[i] / c.n[i], true
}

// answers counts the answers of the release.
func (j *judge) answers() int {
	if c, known := j.seen[""]; known {
		return c[Failed].N
	}
	return 0
}

// doubtful reports whether a test is on the way to reject the release.
func (j *judge) doubtful() bool {
	for _, t := range j.tests {
		for _, sum := range t.sum {
			if sum >= rejectLimit/2 {
				return true
			}
		}
	}
	return false
}
