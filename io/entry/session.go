package entry

import (
	"context"
	"sync"

	"cicadavalve/core/ident"
)

// mailboxSize exceeds the number of undelivered commands that a request can have.
const mailboxSize = 16

// session is a caller's open request on this entry. The request's handler executes the commands in its mailbox.
type session struct {
	mailbox chan ident.Cmd
	// attempt and stop are the number and the cancel function of the running attempt.
	attempt int
	stop    context.CancelFunc
	// cancelled is the newest attempt to be cancelled; it may be set before that attempt begins.
	cancelled int
}

// sessions holds the open requests of this entry by the id that the entry assigned.
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

// deliver puts a command into the request's mailbox. It drops the command if the request has ended or the
// mailbox is full.
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

// beginAttempt sets the running attempt and its cancel function. It cancels an attempt that is already to be cancelled.
func (s *sessions) beginAttempt(id ident.RequestID, attempt int, stop context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open, ok := s.byID[id]; ok {
		open.attempt, open.stop = attempt, stop
		open.stopCancelled()
	}
}

// cancelAttempt cancels an attempt, or marks it to be cancelled when it begins.
func (s *sessions) cancelAttempt(id ident.RequestID, attempt int) {
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
