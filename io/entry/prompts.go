package entry

import (
	"sync"
	"time"

	"cicadavalve/core/ident"
)

const (
	// maxPromptBytes is the maximum total size of the prompts held for exports.
	maxPromptBytes = 64 << 20
	// maxPromptAge exceeds the time that an export may wait: a prompt held for longer never got a command to export or
	// drop it.
	maxPromptAge = 30 * time.Second
	// purgeThreshold is the number of held prompts above which adding one first purges expired prompts.
	purgeThreshold = 256
)

// heldPrompts holds the prompts of answered requests until the state machines export or drop them.
type heldPrompts struct {
	mu   sync.Mutex
	byID map[ident.RequestID]heldPrompt
	// bytes is the total size of the prompts, at most maxPromptBytes.
	bytes int
}

// heldPrompt is the prompt of an answered request.
type heldPrompt struct {
	text       string
	answeredAt time.Time
}

func newHeldPrompts() *heldPrompts { return &heldPrompts{byID: map[ident.RequestID]heldPrompt{}} }

// hold adds a prompt, or skips it if it would exceed maxPromptBytes; a skipped prompt is not exported.
func (h *heldPrompts) hold(now time.Time, id ident.RequestID, prompt string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.byID) > purgeThreshold || h.bytes+len(prompt) > maxPromptBytes {
		h.purge(now)
	}
	if h.bytes+len(prompt) <= maxPromptBytes {
		h.byID[id] = heldPrompt{prompt, now}
		h.bytes += len(prompt)
	}
}

// purge removes prompts older than maxPromptAge. The caller must hold the lock.
func (h *heldPrompts) purge(now time.Time) {
	for id, held := range h.byID {
		if now.Sub(held.answeredAt) > maxPromptAge {
			delete(h.byID, id)
			h.bytes -= len(held.text)
		}
	}
}

// take removes and returns a prompt; held is false if it is not there.
func (h *heldPrompts) take(id ident.RequestID) (prompt string, held bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, held := h.byID[id]
	delete(h.byID, id)
	h.bytes -= len(p.text)
	return p.text, held
}
