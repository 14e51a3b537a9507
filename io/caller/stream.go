package caller

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/tmaxmax/go-sse"
)

// eventStream writes a response as server-sent events. The header is written with the first event.
type eventStream struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	started bool
}

// doneMarker is the data of the last event of a complete response.
const doneMarker = "[DONE]"

func (st *eventStream) sendJSON(body any) (err error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return st.sendData(string(raw))
}

func (st *eventStream) sendData(data string) (err error) {
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
	return st.flusher.Flush()
}

func (s *Server) respondStream(ctx context.Context, w http.ResponseWriter, c Completion, format replyFormat) {
	st := &eventStream{w: w, flusher: http.NewResponseController(w)}
	answer, err := s.backend.Complete(ctx, c, func(token string) error { return st.sendJSON(format.tokenReply(token)) })
	switch {
	case err != nil && !st.started:
		s.refuse(w, err)
	case err != nil:
		// Without doneMarker the client treats the response as incomplete.
		_ = st.sendJSON(asRefusal(err).body())
	default:
		_ = st.sendJSON(format.finalReply("", true, answer))
		_ = st.sendData(doneMarker)
	}
}
