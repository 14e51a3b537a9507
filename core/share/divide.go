package share

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// demand is what one organisation got and requires, in ns of engine time.
type demand struct {
	given float64
	// required is at least given.
	required float64
	// weight is positive.
	weight float64
}

// divide divides the sum of what was given by weighted max-min fairness and returns its level: nobody is entitled to more than its weight
// times the level or than it requires, whichever is less, and what some don't require is lent to the others. The level is infinite
// if everything required was given. It reorders the demands.
func divide(demands []*demand) (level float64) {
	// Sums are made in this order, so that equal demands always have the same level.
	slices.SortFunc(demands, func(a, b *demand) int {
		return cmp.Or(cmp.Compare(a.required/a.weight, b.required/b.weight), cmp.Compare(a.given, b.given), cmp.Compare(a.weight, b.weight))
	})
	capacity, weights := 0.0, 0.0
	for _, d := range demands {
		capacity += d.given
		weights += d.weight
	}
	for _, d := range demands {
		if level = capacity / weights; d.required > d.weight*level {
			return level
		}
		capacity -= d.required
		weights -= d.weight
	}
	return math.Inf(1)
}

// decaying is a sum of which everything decays exponentially.
type decaying struct {
	sum float64
	at  time.Time
}

// add adds an amount.
func (d *decaying) add(now time.Time, amount float64, memory time.Duration) {
	d.sum = d.value(now, memory) + amount
	if now.After(d.at) {
		d.at = now
	}
}

// value returns the sum as it has decayed by now.
func (d *decaying) value(now time.Time, memory time.Duration) float64 {
	if elapsed := now.Sub(d.at); elapsed > 0 && d.sum != 0 {
		return d.sum * math.Exp(-float64(elapsed)/float64(memory))
	}
	return d.sum
}
