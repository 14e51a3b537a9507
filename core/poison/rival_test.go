package poison_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/poison"
)

// TestQuarantineOfAnotherRequestKeepsTheLossesOfATrial quarantines a request that is sent often and was lost on upstreams that another one had
// ended, before the losses of that one are confirmed. They were dropped as explained, and the request at fault began anew.
func TestQuarantineOfAnotherRequestKeepsTheLossesOfATrial(t *testing.T) {
	m, now := poison.NewModel("a", poison.WithMessages()), start
	loss := func(i int) poison.Loss { return poison.Loss{Upstream: engineID(i), Boot: "old"} }
	for i := range 3 {
		m.RecordLoss(now, now, "fault", loss(i), i == 2)
		now = now.Add(100 * time.Millisecond)
	}
	for i := range 3 {
		m.RecordLoss(now, now, "frequent", loss(i), i == 2)
		m.RecordLoss(now, now, "beside", loss(i), false)
	}
	var body poison.QuarantineBody
	body.Digest, body.SinceMS = "frequent", now.UnixMilli()
	for i := range 3 {
		body.Losses = append(body.Losses, loss(i))
	}
	receiveQuarantine(t, m, now, body)
	for i := range 3 {
		m.ObserveBoot(now, engineID(i), "new")
	}
	got := map[poison.Digest]poison.Standing{}
	for _, d := range []poison.Digest{"fault", "frequent", "beside"} {
		got[d] = m.Standing(now, d)
	}
	want := map[poison.Digest]poison.Standing{"fault": poison.Quarantined, "frequent": poison.Quarantined, "beside": poison.Clear}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("standings (-want +got):\n%s", diff)
	}
}

func receiveQuarantine(t *testing.T, m *poison.Model, now time.Time, body poison.QuarantineBody) {
	t.Helper()
	raw, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	if err := m.Receive(now, poison.KindQuarantine, raw); err != nil {
		t.Fatal(err)
	}
}
