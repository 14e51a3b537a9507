package caller

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/tmaxmax/go-sse"
)

// stream answers with server-sent events, ended by a final marker.
type stream struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	started bool
}

// doneMarker is the data of the last event of a whole answer.
const doneMarker = "[DONE]"

func (st *stream) send(body any) (err error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return st.write(string(raw))
}

func (st *stream) write(data string) (err error) {
	if !st.started {
		st.started = true
		st.w.Header().Set("Content-Type", "text/event-stream")
		st.w.Header().Set("Cache-Control", "no-store")
		st.w.WriteHeader(http.StatusOK)
	}
	var m sse.Message
	m.AppendData(data)
	if _, err := m.WriteTo(st.w); err != nil {
		return err
	}
	return st.flush.Flush()
}

func (s *Server) stream(ctx context.Context, w http.ResponseWriter, c Completion, sh shape) {
	st := &stream{w: w, flush: http.NewResponseController(w)}
	answer, err := s.backend.Complete(ctx, c, func(token string) error { return st.send(sh.token(token)) })
	switch {
	case err != nil && !st.started:
		s.refuse(w, err)
	case err != nil:
		// The stream ends without its final marker, so the answer does not count as whole.
		_ = st.send(asRefusal(err).body())
	default:
		_ = st.send(sh.end("", true, answer))
		_ = st.write(doneMarker)
	}
}
