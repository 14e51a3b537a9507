package pace

import (
	"math"
	"time"
)

const (
	// deviation is the distance from the usual pace from which on a statement is a sample of how long slowdowns last.
	deviation = 0.2
	// initialPersistence is the mean duration of a slowdown that is assumed at first: that of VMs which share a core.
	initialPersistence = 600 * time.Millisecond
	// initialEnds is how many ends of slowdowns that assumption is worth. They always count: the estimate of where a slowdown ended between
	// two statements follows the mean, which otherwise moves to its bounds where statements are rare.
	initialEnds = 5
	// endMemory is after how many ends of slowdowns those before count for 1/e: fewer give an estimate that varies by more than a fifth.
	endMemory = 40
	// shareSmoothing is the weight of a statement in the share of an upstream's statements that deviate, once there are many.
	shareSmoothing = 0.02
	// minPersistence and maxPersistence bound the estimate.
	minPersistence, maxPersistence = 100 * time.Millisecond, 30 * time.Second
	// informativeFactor is how many mean durations two statements may lie apart to be a sample of it, and minInformative how far they
	// may at least.
	informativeFactor = 3
	minInformative    = time.Second
	// maxShare is the share of deviating statements above which those of an upstream are no samples of how long slowdowns last: one that
	// always states the same must not make the others' slowdowns seem to last.
	maxShare = 0.6
)

// persistence estimates how long slowdowns last from pairs of successive statements of one upstream. It takes the durations to be
// exponential: the mean is the time for which slowdowns were seen to last by the number of ends that were seen. Where a slowdown ended
// between two statements, the mean time until an end within that interval counts.
type persistence struct {
	// exposure, in ns, and ends are those that were seen.
	exposure, ends float64
}

// share is the share of the statements of one upstream that deviate.
type share struct {
	value float64
	count int
}

// add adds a statement.
func (s *share) add(slowdown float64) {
	sample := 0.0
	if deviates(slowdown) {
		sample = 1
	}
	s.count++
	s.value += (sample - s.value) * max(1/float64(s.count), shareSmoothing)
}

// mean returns the mean duration of a slowdown.
func (p *persistence) mean() time.Duration {
	mean := (p.exposure + initialEnds*float64(initialPersistence)) / (p.ends + initialEnds)
	return time.Duration(min(max(mean, float64(minPersistence)), float64(maxPersistence)))
}

// observe adds two successive statements of one upstream, of which the given share deviates: by chance it is slow again at the second one.
func (p *persistence) observe(first, second float64, apart time.Duration, share float64) {
	mean := p.mean()
	if !deviates(first) || share > maxShare || apart <= 0 || apart > max(informativeFactor*mean, minInformative) {
		return
	}
	left := (min(max((second-1)/(first-1), 0), 1) - share) / (1 - share)
	ended := float64(mean) - float64(apart)/math.Expm1(float64(apart)/float64(mean))
	kept := 1 - (1-left)/endMemory
	p.exposure = max(kept*p.exposure+left*float64(apart)+(1-left)*ended, 0)
	p.ends = kept*p.ends + 1 - left
}

// left returns the part of a slowdown that is expected to be left after a time.
func (p *persistence) left(age time.Duration) float64 {
	return math.Exp(-max(float64(age), 0) / float64(p.mean()))
}

func deviates(slowdown float64) bool { return math.Abs(slowdown-1) >= deviation }
