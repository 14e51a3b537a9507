package replay

import (
	"encoding/json"

	"cicadavalve/core/ledger"
)

// changeRecord puts another operator's file into a proposal; any other record stays as it is.
func changeRecord(rec ledger.Record, text string) ledger.Record {
	var body ledger.ConfigBody
	if rec.Kind != ledger.KindConfig || json.Unmarshal(rec.Body, &body) != nil {
		return rec
	}
	body.Text = text
	changed, err := ledger.NewRecord(rec.ID, rec.Kind, rec.Writer, body)
	if err != nil {
		return rec
	}
	return changed
}
