package retry

import "time"

// slices is how many steps a [Window] slides in; more steps track the window closer.
const slices = 20

// Window bounds the attempts beyond the first over a sliding span of time: a share of the first
// attempts of the span and a fixed allowance. It is not safe for concurrent use.
//
//	w := retry.NewWindow(10*time.Second, 0.2, 8)
//	w.First(now)
//	if w.Withdraw(now) { sendAgain() }
type Window struct {
	span      time.Duration
	ratio     float64
	allowance float64
	// step is the number of the newest slice, counted from the zero time.
	step   int64
	firsts [slices]float64
	extras [slices]float64
}

// NewWindow allows ratio times the first attempts of each span and so many more.
func NewWindow(span time.Duration, ratio, allowance float64) *Window {
	return &Window{span: span, ratio: ratio, allowance: allowance}
}

// SetAllowance changes the fixed part, as the number of entries that share it changes.
func (w *Window) SetAllowance(allowance float64) { w.allowance = allowance }

func (w *Window) slide(now time.Time) int64 {
	step := now.UnixNano() / int64(w.span/slices)
	for s := max(w.step+1, step-slices+1); s <= step; s++ {
		w.firsts[s%slices], w.extras[s%slices] = 0, 0
	}
	w.step = max(w.step, step)
	return w.step
}

// First notes a first attempt.
func (w *Window) First(now time.Time) { w.firsts[w.slide(now)%slices]++ }

// Withdraw takes one attempt beyond the first and reports whether there was one left.
func (w *Window) Withdraw(now time.Time) bool {
	step := w.slide(now)
	firsts, extras := 0.0, 0.0
	for i := range slices {
		firsts += w.firsts[i]
		extras += w.extras[i]
	}
	if extras+1 > w.ratio*firsts+w.allowance {
		return false
	}
	w.extras[step%slices]++
	return true
}
