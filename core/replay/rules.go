package replay

import (
	"encoding/json"

	"cicadavalve/core/ledger"
)

// overrideRecord replaces the rules of a proposal or a snapshot and returns any other record unchanged.
func overrideRecord(rec ledger.Record, text string) ledger.Record {
	switch rec.Kind {
	case ledger.KindConfig:
		return overrideProposal(rec, text)
	case ledger.KindSnapshot:
		if s, err := ledger.DecodeState(rec.Body); err == nil {
			rec.Body = s.WithText(text).Encode()
		}
	}
	return rec
}

func overrideProposal(rec ledger.Record, text string) ledger.Record {
	var body ledger.ConfigBody
	if json.Unmarshal(rec.Body, &body) != nil {
		return rec
	}
	body.Text = text
	changed, err := ledger.NewRecord(rec.ID, rec.Kind, rec.Writer, body)
	if err != nil {
		return rec
	}
	return changed
}

// overrideStates replaces the rules in the states of other entries.
func overrideStates(msg ledger.PeerStatesMsg, text string) ledger.PeerStatesMsg {
	states := make([]ledger.State, len(msg.States))
	for i, s := range msg.States {
		states[i] = s.WithText(text)
	}
	return ledger.PeerStatesMsg{States: states}
}
