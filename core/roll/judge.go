package roll

import (
	"encoding/json"
	"math"
	"time"

	"cicadavalve/core/ident"
)

// Indicator is a property of an attempt that a bad version shows more often.
type Indicator int

// The indicators, as indexes of [Counts].
const (
	Failed Indicator = iota
	SlowFirst
	SlowBetween
	indicators
)

var indicatorNames = [indicators]string{"failed", "slow_first", "slow_between"}

// String is the indicator's name in own formats.
func (i Indicator) String() string { return indicatorNames[i] }

// Tally counts attempts, and those of them that show an indicator.
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

// MarshalJSON writes the tallies as one flat list of n and bad, since records are many.
func (c Counts) MarshalJSON() ([]byte, error) {
	flat := make([]float64, 0, 2*indicators)
	for _, t := range c {
		flat = append(flat, t.N, t.Bad)
	}
	return json.Marshal(flat)
}

// UnmarshalJSON reads what MarshalJSON writes.
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

// Cell is a route and an organisation; an empty organisation means all of the route's.
type Cell struct {
	Class ident.Class `json:"class"`
	Org   ident.OrgID `json:"org,omitempty"`
}

// Reason tells why a version was taken back.
type Reason struct {
	Cell      Cell   `json:"cell"`
	Indicator string `json:"indicator"`
	Old       Tally  `json:"old"`
	New       Tally  `json:"new"`
}

const (
	// alpha bounds the chance that a test against a good version ends with "bad", and
	// beta that a test against a bad version ends with "good".
	alpha = 1e-4
	beta  = 1e-2
	// controlLeast is how many attempts on the old version make a control.
	controlLeast = 20
	// controlWindow is the time after which an attempt on the old version counts half.
	controlWindow = 30 * time.Second
	// sliceTime is how long attempts gather before they are judged together, and sliceLeast how
	// many on the old version make a control of their own.
	sliceTime  = time.Second
	sliceLeast = 5
	// mostCells bounds the organisations and routes that are judged apart.
	mostCells = 256
)

// bound gives the rates between which the test of an indicator decides.
type bound struct {
	// good is the least rate that still passes for good, and bad the least that passes for bad.
	good, bad float64
	// times is how much above the control's rate a good version's may be, up to most.
	times, most float64
	// control is true where there is no test without a control.
	control bool
	// slices is how many slices of evidence it takes at least to end a test with "bad": attempts
	// at one moment are not independent, as a stall makes all of them slow.
	slices float64
}

var bounds = [indicators]bound{
	Failed:      {good: 0.02, bad: 0.3, times: 2, most: 0.5, slices: 2},
	SlowFirst:   {good: 0.2, bad: 0.7, times: 1.5, most: 0.6, control: true, slices: 3},
	SlowBetween: {good: 0.2, bad: 0.7, times: 1.5, most: 0.6, control: true, slices: 3},
}

const (
	// badGap is how far apart the two rates are at least, and mostBad the highest rate.
	badGap  = 0.3
	mostBad = 0.95
)

// rates are p0 and p1 of Wald's test, moved up with the old version's rate in the same minutes.
func (b bound) rates(control Tally) (p0, p1 float64) {
	p0 = min(max(b.good, b.times*control.rate()), b.most)
	p1 = min(max(b.bad, p0+badGap), mostBad)
	return p0, p1
}

// evidence is the log-likelihood ratio of bad against good that a tally adds. Where the old
// version itself shows the indicator too often for a test against it, nothing speaks for bad.
func (b bound) evidence(t, control Tally) float64 {
	p0, p1 := b.rates(control)
	ratio := t.Bad*math.Log(p1/p0) + (t.N-t.Bad)*math.Log((1-p1)/(1-p0))
	if b.control && b.times*control.rate() > b.most {
		return min(0, ratio)
	}
	return ratio
}

// trial is the evidence on one cell.
type trial struct {
	// old is the control, with older attempts counted less; seen counts the new version's attempts.
	old, seen Counts
	// suspicion is Page's cumulative sum, never negative: it finds a version that turns bad at any time.
	suspicion [indicators]float64
	// doubt is Wald's sum since the step began: low enough, the step has been passed.
	doubt [indicators]float64
	// stepOld and stepNew count the attempts since the step began.
	stepOld, stepNew Counts
}

// judge tests a move's new version against its old one.
type judge struct {
	// step is the number of the step that doubt belongs to.
	step    int
	trials  map[Cell]*trial
	decayed time.Time
	// found is the first test that ended with "bad", or nil.
	found *Reason
}

func newJudge() *judge { return &judge{trials: map[Cell]*trial{}} }

// begin starts the test of a step.
func (j *judge) begin(step int) {
	j.step = step
	for _, t := range j.trials {
		t.doubt, t.stepOld, t.stepNew = [indicators]float64{}, Counts{}, Counts{}
	}
}

// add takes one slice of evidence on one cell that was seen at a step.
func (j *judge) add(now time.Time, step int, e CellEvidence) {
	if !e.Old.empty() {
		j.decay(now)
	}
	t := j.trial(e.Cell)
	if t == nil {
		return
	}
	t.old.add(e.Old)
	t.seen.add(e.New)
	current := step == j.step
	if current {
		t.stepOld.add(e.Old)
		t.stepNew.add(e.New)
	}
	for i := range indicators {
		j.weigh(t, i, e, current)
	}
}

func (j *judge) weigh(t *trial, i Indicator, e CellEvidence, current bool) {
	control, ok := j.control(t, i, e.Cell)
	if !ok && bounds[i].control || e.New[i].N == 0 {
		return
	}
	if e.Old[i].N >= sliceLeast && e.Old[i].rate() > control.rate() {
		control = e.Old[i]
	}
	w := min(bounds[i].evidence(e.New[i], control), suspectLimit/bounds[i].slices)
	t.suspicion[i] = max(0, t.suspicion[i]+w)
	if t.suspicion[i] >= suspectLimit && j.found == nil {
		j.found = &Reason{Cell: e.Cell, Indicator: i.String(), Old: t.old[i], New: t.seen[i]}
	}
	if current {
		t.doubt[i] += w
	}
}

// control is the old version's tally in the cell, or in the whole route where the cell has few.
func (j *judge) control(t *trial, i Indicator, c Cell) (control Tally, ok bool) {
	if t.old[i].N >= controlLeast {
		return t.old[i], true
	}
	if route, known := j.trials[Cell{Class: c.Class}]; known && route.old[i].N >= controlLeast {
		return route.old[i], true
	}
	return Tally{}, false
}

func (j *judge) trial(c Cell) *trial {
	t, known := j.trials[c]
	if !known && len(j.trials) < mostCells {
		t = &trial{}
		j.trials[c] = t
	}
	return t
}

// decay makes older controls count less; it stands still while the old version gets nothing.
func (j *judge) decay(now time.Time) {
	if j.decayed.IsZero() {
		j.decayed = now
	}
	if now.Sub(j.decayed) < controlWindow {
		return
	}
	j.decayed = now
	for _, t := range j.trials {
		for i := range t.old {
			t.old[i].N, t.old[i].Bad = t.old[i].N/2, t.old[i].Bad/2
		}
	}
}

// suspectLimit is the sum at which a test ends with "bad".
var suspectLimit = math.Log((1 - beta) / alpha)

// bad reports whether a test has ended with "bad", and which.
func (j *judge) bad() (r Reason, found bool) {
	if j.found == nil {
		return r, false
	}
	return *j.found, true
}

// passLimit is the sum at which Wald's test ends with "good".
var passLimit = math.Log(beta / (1 - alpha))

// passed reports whether the step's tests have ended with "good" on every route
// whose traffic allows a test at this share, and on one at least.
func (j *judge) passed(share float64) bool {
	any := false
	for c, t := range j.trials {
		if c.Org != "" {
			continue
		}
		if t.passed() {
			any = true
		} else if t.expected(share) >= passLeast {
			return false
		}
	}
	return any
}

// passLeast is how many attempts without a failure pass a version.
var passLeast = math.Ceil(passLimit / bounds[Failed].evidence(Tally{N: 1}, Tally{}))

// slowLeast is how many timed attempts make a test of slowness necessary.
const slowLeast = 8

func (t *trial) passed() bool {
	if t.doubt[Failed] > passLimit {
		return false
	}
	for _, i := range [...]Indicator{SlowFirst, SlowBetween} {
		if t.stepNew[i].N >= slowLeast && t.stepOld[i].N >= controlLeast && t.doubt[i] > passLimit {
			return false
		}
	}
	return true
}

// expected is how many attempts the new version should have had in this step.
func (t *trial) expected(share float64) float64 {
	seen := t.stepNew[Failed].N
	if share >= 1 {
		return seen
	}
	return max(seen, t.stepOld[Failed].N*share/(1-share))
}

// attempts counts the new version's attempts on all routes since the step began.
func (j *judge) attempts() (n float64) {
	for c, t := range j.trials {
		if c.Org == "" {
			n += t.stepNew[Failed].N
		}
	}
	return n
}
