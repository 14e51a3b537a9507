package roll

import (
	"encoding/json"
	"math"
	"time"

	"cicadavalve/core/ident"
)

// Indicator is a symptom of an attempt that occurs more often on a bad version.
type Indicator int

// The indicators; their values index [Counts].
const (
	Failed Indicator = iota
	SlowFirst
	SlowBetween
	indicators
)

var indicatorNames = [indicators]string{"failed", "slow_first", "slow_between"}

// String returns the indicator's name as used in records and in the operator's views.
func (i Indicator) String() string { return indicatorNames[i] }

// Tally counts attempts (N) and how many of them show an indicator (Bad).
type Tally struct {
	N   float64 `json:"n"`
	Bad float64 `json:"bad"`
}

func (t *Tally) add(o Tally) { t.N, t.Bad = t.N+o.N, t.Bad+o.Bad }

func (t Tally) rate() float64 { return t.Bad / max(t.N, 1) }

// Counts holds one tally per indicator.
type Counts [indicators]Tally

func (c *Counts) add(o Counts) {
	for i := range c {
		c[i].add(o[i])
	}
}

// MarshalJSON encodes the tallies as one flat list of N, Bad pairs to keep evidence records small.
func (c Counts) MarshalJSON() ([]byte, error) {
	flat := make([]float64, 0, 2*indicators)
	for _, t := range c {
		flat = append(flat, t.N, t.Bad)
	}
	return json.Marshal(flat)
}

// UnmarshalJSON decodes the format of [Counts.MarshalJSON].
func (c *Counts) UnmarshalJSON(raw []byte) (err error) {
	var flat [2 * indicators]float64
	if err := json.Unmarshal(raw, &flat); err != nil {
		return err
	}
	for i := range c {
		c[i] = Tally{flat[2*i], flat[2*i+1]}
	}
	return nil
}

func (c Counts) empty() bool { return c == Counts{} }

// Cell selects the attempts of one route and organisation; an empty Org covers the whole route.
type Cell struct {
	Class ident.Class `json:"class"`
	Org   ident.OrgID `json:"org,omitempty"`
}

// Reason is the test result for which a version was taken back.
type Reason struct {
	Cell      Cell   `json:"cell"`
	Indicator string `json:"indicator"`
	Old       Tally  `json:"old"`
	New       Tally  `json:"new"`
}

const (
	// alpha bounds the probability that a test rejects a good version, and beta the
	// probability that it passes a bad one.
	alpha = 1e-4
	beta  = 1e-2
	// minControl is the minimum number of attempts on the old version that serve as a control.
	minControl = 20
	// controlHalfLife is the interval at which the weight of earlier attempts on the old version is halved.
	controlHalfLife = 30 * time.Second
	// evidenceWindow is how long attempts are collected before they are tested together. With at least
	// minWindowControl attempts on the old version a window also provides a control of its own, which
	// is used if its rate is higher.
	evidenceWindow   = time.Second
	minWindowControl = 5
	// maxCells bounds the number of cells that are tested separately.
	maxCells = 256
)

// bound holds the rates that the test of one indicator distinguishes.
type bound struct {
	// good and bad are the rates assumed for a good and a bad version if the control shows the indicator
	// rarely; [bound.rates] raises them otherwise.
	good, bad float64
	// A good version's rate may be up to factor times the control's, but at most maxGood.
	factor, maxGood float64
	// needsControl is true if the indicator is not tested without a control.
	needsControl bool
	// minWindows is the minimum number of evidence windows needed to reject a version. Attempts at the
	// same moment are not independent: a stall slows all of them.
	minWindows float64
}

var bounds = [indicators]bound{
	Failed:      {good: 0.02, bad: 0.3, factor: 2, maxGood: 0.5, minWindows: 2},
	SlowFirst:   {good: 0.2, bad: 0.7, factor: 1.5, maxGood: 0.6, needsControl: true, minWindows: 3},
	SlowBetween: {good: 0.2, bad: 0.7, factor: 1.5, maxGood: 0.6, needsControl: true, minWindows: 3},
}

const (
	// minRateGap is the minimum distance between the two rates, and maxBad the highest bad rate.
	minRateGap = 0.3
	maxBad     = 0.95
)

// rates returns p0 and p1 of Wald's sequential test, raised if the control's recent rate is high.
func (b bound) rates(control Tally) (p0, p1 float64) {
	p0 = min(max(b.good, b.factor*control.rate()), b.maxGood)
	p1 = min(max(b.bad, p0+minRateGap), maxBad)
	return p0, p1
}

// logLikelihoodRatio returns a tally's log-likelihood ratio of "bad" against "good". It is never positive
// if the test needs a control and the old version itself shows the indicator too often to serve as one.
func (b bound) logLikelihoodRatio(t, control Tally) float64 {
	p0, p1 := b.rates(control)
	ratio := t.Bad*math.Log(p1/p0) + (t.N-t.Bad)*math.Log((1-p1)/(1-p0))
	if b.needsControl && b.factor*control.rate() > b.maxGood {
		return min(0, ratio)
	}
	return ratio
}

// cellTest holds the evidence and the test statistics of one cell.
type cellTest struct {
	// old is the control, which decays with time; seen counts the new version's attempts.
	old, seen Counts
	// cusum is Page's cumulative sum per indicator, never negative. It detects a version that turns bad
	// at any time, also after steps that passed.
	cusum [indicators]float64
	// stepRatio is Wald's log-likelihood ratio since the step began; at or below passLimit the step passes.
	stepRatio [indicators]float64
	// stepOld and stepNew count the attempts since the step began.
	stepOld, stepNew Counts
}

// analysis tests a move's new version against its old version.
type analysis struct {
	// step is the number of the step that stepRatio covers.
	step      int
	tests     map[Cell]*cellTest
	lastDecay time.Time
	// rejection is the result of the first test that rejected the new version, or nil.
	rejection *Reason
}

func newAnalysis() *analysis { return &analysis{tests: map[Cell]*cellTest{}} }

// beginStep resets the per-step statistics for a new step.
func (a *analysis) beginStep(step int) {
	a.step = step
	for _, t := range a.tests {
		t.stepRatio, t.stepOld, t.stepNew = [indicators]float64{}, Counts{}, Counts{}
	}
}

// add tests one window of evidence on one cell, collected during the given step.
func (a *analysis) add(now time.Time, step int, evidence CellEvidence) {
	if !evidence.Old.empty() {
		a.decay(now)
	}
	t := a.test(evidence.Cell)
	if t == nil {
		return
	}
	t.old.add(evidence.Old)
	t.seen.add(evidence.New)
	current := step == a.step
	if current {
		t.stepOld.add(evidence.Old)
		t.stepNew.add(evidence.New)
	}
	for i := range indicators {
		a.updateTest(t, i, evidence, current)
	}
}

func (a *analysis) updateTest(t *cellTest, i Indicator, evidence CellEvidence, current bool) {
	control, ok := a.control(t, i, evidence.Cell)
	if !ok && bounds[i].needsControl || evidence.New[i].N == 0 {
		return
	}
	if evidence.Old[i].N >= minWindowControl && evidence.Old[i].rate() > control.rate() {
		control = evidence.Old[i]
	}
	ratio := min(bounds[i].logLikelihoodRatio(evidence.New[i], control), rejectLimit/bounds[i].minWindows)
	t.cusum[i] = max(0, t.cusum[i]+ratio)
	if t.cusum[i] >= rejectLimit && a.rejection == nil {
		a.rejection = &Reason{Cell: evidence.Cell, Indicator: i.String(), Old: t.old[i], New: t.seen[i]}
	}
	if current {
		t.stepRatio[i] += ratio
	}
}

// control returns the old version's tally in the cell, or in the whole route if the cell has too few
// attempts. ok is false if the route has too few as well.
func (a *analysis) control(t *cellTest, i Indicator, c Cell) (control Tally, ok bool) {
	if t.old[i].N >= minControl {
		return t.old[i], true
	}
	if route, known := a.tests[Cell{Class: c.Class}]; known && route.old[i].N >= minControl {
		return route.old[i], true
	}
	return Tally{}, false
}

func (a *analysis) test(c Cell) *cellTest {
	t, known := a.tests[c]
	if !known && len(a.tests) < maxCells {
		t = &cellTest{}
		a.tests[c] = t
	}
	return t
}

// decay halves the controls once per controlHalfLife. It is called only when the old version had attempts,
// so a control is kept while the old version gets no traffic.
func (a *analysis) decay(now time.Time) {
	if a.lastDecay.IsZero() {
		a.lastDecay = now
	}
	if now.Sub(a.lastDecay) < controlHalfLife {
		return
	}
	a.lastDecay = now
	for _, t := range a.tests {
		for i := range t.old {
			t.old[i].N, t.old[i].Bad = t.old[i].N/2, t.old[i].Bad/2
		}
	}
}

// rejectLimit is the log-likelihood ratio at which a test rejects the new version.
var rejectLimit = math.Log((1 - beta) / alpha)

// rejected reports whether a test has rejected the new version, and returns its result.
func (a *analysis) rejected() (r Reason, rejected bool) {
	if a.rejection == nil {
		return r, false
	}
	return *a.rejection, true
}

// passLimit is the log-likelihood ratio at which Wald's test passes the new version.
var passLimit = math.Log(beta / (1 - alpha))

// passed reports whether the step's tests have passed on at least one route and on
// every route with enough traffic for a test at this share.
func (a *analysis) passed(share float64) bool {
	tested := false
	for c, t := range a.tests {
		if c.Org != "" {
			continue
		}
		if t.passed() {
			tested = true
		} else if t.expected(share) >= minPassAttempts {
			return false
		}
	}
	return tested
}

// minPassAttempts is the number of attempts without a failure after which a version passes.
var minPassAttempts = math.Ceil(passLimit / bounds[Failed].logLikelihoodRatio(Tally{N: 1}, Tally{}))

// minTimedAttempts is the minimum number of timed attempts from which the latency tests must pass too.
const minTimedAttempts = 8

func (t *cellTest) passed() bool {
	if t.stepRatio[Failed] > passLimit {
		return false
	}
	for _, i := range [...]Indicator{SlowFirst, SlowBetween} {
		if t.stepNew[i].N >= minTimedAttempts && t.stepOld[i].N >= minControl && t.stepRatio[i] > passLimit {
			return false
		}
	}
	return true
}

// expected estimates the attempts that the new version has had in this step, from its share and the old
// version's attempts; it is never below the attempts counted.
func (t *cellTest) expected(share float64) float64 {
	seen := t.stepNew[Failed].N
	if share >= 1 {
		return seen
	}
	return max(seen, t.stepOld[Failed].N*share/(1-share))
}

// attempts returns the number of the new version's attempts on all routes since the step began.
func (a *analysis) attempts() (n float64) {
	for c, t := range a.tests {
		if c.Org == "" {
			n += t.stepNew[Failed].N
		}
	}
	return n
}
