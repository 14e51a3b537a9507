package entry

import (
	"sync"
	"time"

	"cicadavalve/core/ident"
)

const (
	// mostPromptBytes bounds the prompts that are held for exports.
	mostPromptBytes = 64 << 20
	// mostPromptAge outlasts the wait of an export; what is held for longer was never decided about.
	mostPromptAge = 30 * time.Second
	// purgeAbove is the number of held prompts above which those that are too old are looked for.
	purgeAbove = 256
)

// heldPrompts holds the prompts of answered requests until the deciders settle whether they are exported.
type heldPrompts struct {
	mu   sync.Mutex
	byID map[ident.RequestID]heldPrompt
	// bytes is the size of the prompts; it is at most mostPromptBytes.
	bytes int
}

// heldPrompt is the prompt of a request that was answered at a time.
type heldPrompt struct {
	text string
	at   time.Time
}

func newHeldPrompts() *heldPrompts { return &heldPrompts{byID: map[ident.RequestID]heldPrompt{}} }

// hold keeps a prompt; one too many is not exported.
func (h *heldPrompts) hold(now time.Time, id ident.RequestID, prompt string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.byID) > purgeAbove || h.bytes+len(prompt) > mostPromptBytes {
		h.purge(now)
	}
	if h.bytes+len(prompt) <= mostPromptBytes {
		h.byID[id] = heldPrompt{prompt, now}
		h.bytes += len(prompt)
	}
}

// purge gives up the prompts that are too old; it needs the lock.
func (h *heldPrompts) purge(now time.Time) {
	for id, held := range h.byID {
		if now.Sub(held.at) > mostPromptAge {
			delete(h.byID, id)
			h.bytes -= len(held.text)
		}
	}
}

// take gives a held prompt up.
func (h *heldPrompts) take(id ident.RequestID) (prompt string, held bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	one, held := h.byID[id]
	delete(h.byID, id)
	h.bytes -= len(one.text)
	return one.text, held
}
