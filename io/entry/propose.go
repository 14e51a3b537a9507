package entry

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
)

// Propose implements [peer.Backend]. The outcome comes from the fold only, not from the response to the append.
func (d *Daemon) Propose(ctx context.Context, id string, body ledger.ConfigBody) (o ledger.Outcome, err error) {
	defer func() { err = errors.Wrap(err, "propose") }()
	request := ident.RequestID(uuid.NewString())
	s := d.sessions.open(request)
	defer d.sessions.close(request)
	d.post(ctx, ledger.ProposeMsg{Request: request, ID: id, Body: body})
	for {
		select {
		case <-ctx.Done():
			return o, ctx.Err()
		case cmd := <-s.mailbox:
			if cmd, ok := cmd.(ledger.VerdictCmd); ok {
				return cmd.Outcome, nil
			}
		}
	}
}
