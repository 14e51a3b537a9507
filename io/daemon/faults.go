package daemon

import (
	"log/slog"

	"cicadavalve/core/fifo"
	"cicadavalve/io/port"
)

const (
	// maxFaultText bounds the text of one fault, in bytes: errors of decoders quote what they can't read.
	maxFaultText = 200
	// maxFaultLines bounds the lines about the faults of one read.
	maxFaultLines = 10
	// maxFaultsKnown bounds the faults that are remembered.
	maxFaultsKnown = 1000
)

// faultLog logs records of one topic that can't be read: each fault once, although snapshots return the same records again. It is not
// safe for concurrent use.
type faultLog struct {
	log   *slog.Logger
	topic port.Topic
	known *fifo.Map[string, struct{}]
}

func newFaultLog(log *slog.Logger, topic port.Topic) *faultLog {
	return &faultLog{log: log, topic: topic, known: fifo.NewMap[string, struct{}](maxFaultsKnown)}
}

// report logs the faults of one read that are new.
func (f *faultLog) report(faults []error) {
	lines := 0
	for _, fault := range faults {
		text := fault.Error()
		text = text[:min(len(text), maxFaultText)]
		if _, known := f.known.Get(text); known {
			continue
		}
		f.known.Set(text, struct{}{})
		if lines++; lines <= maxFaultLines {
			f.log.Warn("record_unreadable", "topic", f.topic, "error", text)
		}
	}
	if lines > maxFaultLines {
		f.log.Warn("records_unreadable", "topic", f.topic, "more", lines-maxFaultLines)
	}
}
