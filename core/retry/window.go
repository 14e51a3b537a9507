package retry

import "time"

// sliceCount is the number of slices of a [Window]; more slices approximate the sliding span more closely.
const sliceCount = 20

// Window limits the retries over a sliding span of time to a share of the first attempts in the span plus a
// fixed allowance. It is not safe for concurrent use.
//
//	w := retry.NewWindow(10*time.Second, 0.2, 8)
//	w.First(now)
//	if w.Withdraw(now) { resend() }
type Window struct {
	span      time.Duration
	ratio     float64
	allowance float64
	// newestSlice is the number of the newest slice, counted from the Unix epoch.
	newestSlice int64
	firsts      [sliceCount]float64
	retries     [sliceCount]float64
}

// NewWindow returns a window that allows, per span, ratio times the first attempts plus allowance.
func NewWindow(span time.Duration, ratio, allowance float64) *Window {
	return &Window{span: span, ratio: ratio, allowance: allowance}
}

// SetAllowance changes the fixed allowance, such as when the number of entries that share it changes.
func (w *Window) SetAllowance(allowance float64) { w.allowance = allowance }

// advance clears the slices that have left the window and returns the number of the newest slice.
func (w *Window) advance(now time.Time) int64 {
	current := now.UnixNano() / int64(w.span/sliceCount)
	for s := max(w.newestSlice+1, current-sliceCount+1); s <= current; s++ {
		w.firsts[s%sliceCount], w.retries[s%sliceCount] = 0, 0
	}
	w.newestSlice = max(w.newestSlice, current)
	return w.newestSlice
}

// First records a first attempt.
func (w *Window) First(now time.Time) { w.firsts[w.advance(now)%sliceCount]++ }

// Retries returns the retries within the window.
func (w *Window) Retries(now time.Time) (retries float64) {
	w.advance(now)
	return sum(w.retries)
}

func sum(slices [sliceCount]float64) (total float64) {
	for _, n := range slices {
		total += n
	}
	return total
}

// Withdraw records a retry if the limit allows one, and reports whether it does.
func (w *Window) Withdraw(now time.Time) bool {
	newest := w.advance(now)
	if sum(w.retries)+1 > w.ratio*sum(w.firsts)+w.allowance {
		return false
	}
	w.retries[newest%sliceCount]++
	return true
}
