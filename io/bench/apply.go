package bench

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"cicadavalve/core/ledger"
	"cicadavalve/io/logsvc"
	"cicadavalve/io/peer"
)

// Apply appends an operator's file to the log, based on the version in force on an entry. It returns before the file
// is in force on any entry.
func (c *Cluster) Apply(ctx context.Context, e *Entry, text string) (err error) {
	return Apply(ctx, c.logURL, e.Peer, text)
}

// Apply appends an operator's file to the log at logURL, based on the version in force on the entry at peerAddress.
func Apply(ctx context.Context, logURL, peerAddress, text string) (err error) {
	defer func() { err = errors.Wrap(err, "apply") }()
	status, err := peer.NewClient(http.DefaultClient, peerAddress).Status(ctx)
	if err != nil {
		return err
	}
	body := ledger.ConfigBody{Base: status.Version, Operator: "bench", Text: text}
	rec, err := ledger.NewRecord(uuid.NewString(), ledger.KindConfig, "bench", body)
	if err != nil {
		return err
	}
	return logsvc.NewClient(logURL+"/", &http.Client{}).Append(ctx, ledger.StreamConfig, []ledger.Record{rec})
}
