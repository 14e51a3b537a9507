package entry

import (
	"context"
	"sync"

	"cicadavalve/core/ident"
)

// mailboxSize exceeds the commands that a request can have undelivered at once.
const mailboxSize = 16

// session is a caller's request on this entry: its handler performs its commands.
type session struct {
	mailbox chan ident.Cmd
	// attempt and stop belong to the attempt that runs now.
	attempt int
	stop    context.CancelFunc
	// cancelled is the newest attempt that is to stop; it may come before the attempt begins.
	cancelled int
}

// sessions holds the requests of this entry by the id that the entry gave them.
type sessions struct {
	mu   sync.Mutex
	byID map[ident.RequestID]*session
}

func newSessions() *sessions {
	return &sessions{byID: map[ident.RequestID]*session{}}
}

func (s *sessions) open(id ident.RequestID) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	opened := &session{mailbox: make(chan ident.Cmd, mailboxSize)}
	s.byID[id] = opened
	return opened
}

func (s *sessions) close(id ident.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, id)
}

// deliver hands a command to the request's handler; a request that has ended gets none.
func (s *sessions) deliver(id ident.RequestID, cmd ident.Cmd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open, ok := s.byID[id]; ok {
		select {
		case open.mailbox <- cmd:
		default:
		}
	}
}

// begin tells which attempt runs now and how to stop it.
func (s *sessions) begin(id ident.RequestID, attempt int, stop context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open, ok := s.byID[id]; ok {
		open.attempt, open.stop = attempt, stop
		open.stopCancelled()
	}
}

// cancel stops an attempt that runs now.
func (s *sessions) cancel(id ident.RequestID, attempt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open, ok := s.byID[id]; ok {
		open.cancelled = max(open.cancelled, attempt)
		open.stopCancelled()
	}
}

func (s *session) stopCancelled() {
	if s.stop != nil && s.attempt <= s.cancelled {
		s.stop()
	}
}
