package caller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/sched"
)

// RefusalBody is the JSON of a refusal.
type RefusalBody struct {
	Error RefusalError `json:"error"`
}

// RefusalError tells why a request got no result and whether it can have run.
type RefusalError struct {
	Code         sched.Code `json:"code"`
	Message      string     `json:"message"`
	NotRun       bool       `json:"not_run"`
	RetryAfterMs int64      `json:"retry_after_ms"`
}

// statuses gives the HTTP status of a refusal that names none.
var statuses = map[sched.Code]int{
	sched.CodeUnknownModel:   http.StatusNotFound,
	sched.CodeUnknownService: http.StatusNotFound,
	sched.CodeNoUpstream:     http.StatusServiceUnavailable,
	sched.CodeOverloaded:     http.StatusTooManyRequests,
	sched.CodeUpstreamFailed: http.StatusBadGateway,
	sched.CodeOutcomeUnknown: http.StatusBadGateway,
	sched.CodeQuarantined:    http.StatusUnprocessableEntity,
	sched.CodeNotReady:       http.StatusServiceUnavailable,
}

// asRefusal turns any error into a refusal; one of unknown kind proves nothing about having run.
func asRefusal(err error) *Refusal {
	var r *Refusal
	if !errors.As(err, &r) {
		r = &Refusal{Status: http.StatusInternalServerError, Code: codeInternal, Message: "internal error"}
	}
	if r.Status == 0 {
		r.Status = statuses[r.Code]
	}
	if r.Status == 0 {
		r.Status = http.StatusInternalServerError
	}
	return r
}

func (r *Refusal) body() RefusalBody {
	return RefusalBody{RefusalError{r.Code, r.Message, r.NotRun, r.RetryAfter.Milliseconds()}}
}

func (s *Server) refuse(w http.ResponseWriter, err error) {
	r := asRefusal(err)
	if r.Code == codeInternal {
		s.log.Error("request_failed", "error", err)
	}
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	writeJSON(w, r.Status, r.body())
}
