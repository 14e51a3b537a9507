package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"io"
	"log/slog"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"cicadavalve/core/ident"
	"cicadavalve/core/sched"
)

const (
	defaultMaxTokens    = 128
	maxCompletionTokens = 65536
	maxHeaderValue      = 200
)

// Server is the HTTP API for callers.
type Server struct {
	backend      Backend
	maxBodyBytes int64
	log          *slog.Logger
	mux          *http.ServeMux
}

// NewServer returns a server that passes requests to a backend and refuses bodies over maxBodyBytes.
func NewServer(backend Backend, maxBodyBytes int64, log *slog.Logger) *Server {
	s := &Server{backend: backend, maxBodyBytes: maxBodyBytes, log: log, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/completions", s.handleCompletion(false))
	s.mux.HandleFunc("POST /v1/chat/completions", s.handleCompletion(true))
	s.mux.HandleFunc("POST /v1/call/{service}/{path...}", s.handleCall)
	s.mux.HandleFunc("GET /v1/entries", s.handleEntries)
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.mux.HandleFunc("GET /readyz", s.handleReady)
	s.mux.Handle("GET /debug/vars", expvar.Handler())
	s.mux.HandleFunc("/", s.handleUnknownPath)
	return s
}

// ServeHTTP implements [http.Handler].
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func clientError(status int, code sched.Code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Message: message, NotRun: true}
}

// Refusal codes of this package, in addition to those of sched.
const (
	codeUnauthenticated sched.Code = "unauthenticated"
	codeBadRequest      sched.Code = "bad_request"
	codeTooLarge        sched.Code = "body_too_large"
	codeUnknownPath     sched.Code = "unknown_path"
	codeInternal        sched.Code = "internal"
)

// requestHeaders holds the headers that all routes share.
type requestHeaders struct {
	org       ident.OrgID
	requestID string
	class     ident.Class
	deadline  time.Duration
}

func (s *Server) parseHeaders(r *http.Request) (h requestHeaders, err error) {
	token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	org, known := s.backend.Org(token)
	if !bearer || !known {
		return h, clientError(http.StatusUnauthorized, codeUnauthenticated, "expected a known bearer token")
	}
	h = requestHeaders{org: org, requestID: r.Header.Get("X-Request-Id"), class: ident.Class(r.Header.Get("X-Class"))}
	if h.requestID == "" {
		h.requestID = uuid.NewString()
	}
	if len(h.requestID) > maxHeaderValue {
		return h, clientError(http.StatusBadRequest, codeBadRequest, "X-Request-Id: expected at most 200 bytes")
	}
	if h.class != "" && ident.Classes()[h.class.Rank()] != h.class {
		return h, clientError(http.StatusBadRequest, codeBadRequest, "X-Class: expected interactive, standard or deferred")
	}
	h.deadline, err = parseDeadline(r.Header.Get("X-Deadline-Ms"))
	return h, err
}

func parseDeadline(text string) (d time.Duration, err error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms == 0 {
		return 0, clientError(http.StatusBadRequest, codeBadRequest, "X-Deadline-Ms: expected a whole number above 0")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (raw []byte, err error) {
	raw, err = io.ReadAll(http.MaxBytesReader(w, r.Body, s.maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, clientError(http.StatusRequestEntityTooLarge, codeTooLarge, "the body is larger than this entry accepts")
	}
	if err != nil {
		return nil, clientError(http.StatusBadRequest, codeBadRequest, "the body could not be read")
	}
	return raw, nil
}

func (s *Server) parseCompletion(w http.ResponseWriter, r *http.Request) (c Completion, stream bool, err error) {
	h, err := s.parseHeaders(r)
	if err != nil {
		return c, false, err
	}
	raw, err := s.readBody(w, r)
	if err != nil {
		return c, false, err
	}
	var b completionBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return c, false, clientError(http.StatusBadRequest, codeBadRequest, "the body is not the expected JSON")
	}
	prompt := b.text()
	if b.MaxTokens == 0 {
		b.MaxTokens = defaultMaxTokens
	}
	switch {
	case b.Model == "":
		err = clientError(http.StatusBadRequest, codeBadRequest, "model: expected a name")
	case prompt == "":
		err = clientError(http.StatusBadRequest, codeBadRequest, "prompt or messages: expected text")
	case b.MaxTokens < 0 || b.MaxTokens > maxCompletionTokens:
		err = clientError(http.StatusBadRequest, codeBadRequest, "max_tokens: expected 1 to 65536")
	}
	c = Completion{
		Org: h.org, RequestID: h.requestID, Model: b.Model, Class: h.class,
		Prompt: prompt, MaxTokens: b.MaxTokens, Deadline: h.deadline, Sampling: b.Sampling,
	}
	return c, b.Stream, err
}

func (s *Server) handleCompletion(chat bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, stream, err := s.parseCompletion(w, r)
		if err != nil {
			s.refuse(w, err)
			return
		}
		w.Header().Set("X-Request-Id", c.RequestID)
		format := replyFormat{id: c.RequestID, model: c.Model, chat: chat}
		if stream {
			s.respondStream(r.Context(), w, c, format)
			return
		}
		s.respondWhole(r.Context(), w, c, format)
	}
}

func (s *Server) respondWhole(ctx context.Context, w http.ResponseWriter, c Completion, format replyFormat) {
	var text strings.Builder
	answer, err := s.backend.Complete(ctx, c, func(token string) error {
		text.WriteString(token)
		return nil
	})
	if err != nil {
		s.refuse(w, err)
		return
	}
	writeJSON(w, http.StatusOK, format.finalReply(text.String(), false, answer))
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	h, err := s.parseHeaders(r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	raw, err := s.readBody(w, r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	w.Header().Set("X-Request-Id", h.requestID)
	reply, err := s.backend.Call(r.Context(), Call{
		Org: h.org, RequestID: h.requestID, Class: h.class, Deadline: h.deadline,
		Service: ident.ServiceName(r.PathValue("service")), Path: r.PathValue("path"),
		Key: r.Header.Get("Idempotency-Key"), ContentType: r.Header.Get("Content-Type"), Body: raw,
	})
	if err != nil {
		s.refuse(w, err)
		return
	}
	if _, _, err := mime.ParseMediaType(reply.ContentType); err == nil {
		w.Header().Set("Content-Type", reply.ContentType)
	}
	writeBody(w, reply.Status, reply.Body)
}

func (s *Server) handleUnknownPath(w http.ResponseWriter, _ *http.Request) {
	s.refuse(w, clientError(http.StatusNotFound, codeUnknownPath, "nothing is served under this method and path"))
}

func (s *Server) handleEntries(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.backend.Entries(r.Context()))
}

func (s *Server) handleReady(w http.ResponseWriter, r *http.Request) {
	if err := s.backend.Ready(r.Context()); err != nil {
		s.refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	var raw bytes.Buffer
	if err := json.NewEncoder(&raw).Encode(body); err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, status, raw.Bytes())
}

// writeBody writes a whole body with its length, without which it would end with the connection for callers of HTTP/1.0.
func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
