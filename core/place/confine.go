package place

import (
	"fmt"
	"runtime/debug"

	"cicadavalve/core/ident"
)

const (
	// maxCause and maxStack bound the fields of a [PanicCmd], in bytes.
	maxCause = 512
	maxStack = 8 << 10
)

// PanicCmd fails a request whose placement has panicked. It has not been sent.
type PanicCmd struct {
	Ticket Ticket
	// Cause is the text of the panic, Stack where it arose.
	Cause, Stack string
}

// confine keeps a panic in the placement of one request to that request, so that no caller can end the entry. It must
// be deferred. Beside the request's own load, which is taken back, a placement changes only what lapses by itself: the
// tokens of a bucket, reserved links, and parts that are announced as about to be prefilled or saved.
func (m *Model) confine(t Ticket, cmds *[]ident.Cmd) {
	p := recover()
	if p == nil {
		return
	}
	cause, stack := fmt.Sprint(p), string(debug.Stack())
	m.release(t)
	*cmds = []ident.Cmd{PanicCmd{Ticket: t, Cause: cause[:min(len(cause), maxCause)], Stack: stack[:min(len(stack), maxStack)]}}
}
