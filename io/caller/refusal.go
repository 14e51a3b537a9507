package caller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/sched"
)

// RefusalBody is the JSON body of a refusal.
type RefusalBody struct {
	Error RefusalError `json:"error"`
}

// RefusalError describes why a request got no result and whether it may have run.
type RefusalError struct {
	Code         sched.Code `json:"code"`
	Message      string     `json:"message"`
	NotRun       bool       `json:"not_run"`
	RetryAfterMs int64      `json:"retry_after_ms"`
}

// defaultStatus maps refusal codes to the HTTP status used if the refusal sets none.
var defaultStatus = map[sched.Code]int{
	sched.CodeUnknownModel:   http.StatusNotFound,
	sched.CodeUnknownService: http.StatusNotFound,
	sched.CodeNoUpstream:     http.StatusServiceUnavailable,
	sched.CodeOverloaded:     http.StatusTooManyRequests,
	sched.CodeUpstreamFailed: http.StatusBadGateway,
	sched.CodeOutcomeUnknown: http.StatusBadGateway,
	sched.CodeQuarantined:    http.StatusUnprocessableEntity,
	sched.CodeNotReady:       http.StatusServiceUnavailable,
}

// asRefusal converts any error to a refusal. An error that is no refusal leaves NotRun false, since the request
// may have run.
func asRefusal(err error) *Refusal {
	var r *Refusal
	if !errors.As(err, &r) {
		r = &Refusal{Status: http.StatusInternalServerError, Code: codeInternal, Message: "internal error"}
	}
	if r.Status == 0 {
		r.Status = defaultStatus[r.Code]
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
