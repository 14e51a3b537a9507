package bench

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"cicadavalve/core/ledger"
	"cicadavalve/io/logsvc"
)

// Apply appends an operator's file to the log, based on the version in force on an entry,
// and does not wait for it to be in force anywhere.
func (c *Cluster) Apply(ctx context.Context, e *Entry, text string) (err error) {
	defer func() { err = errors.Wrap(err, "apply") }()
	status, err := c.Status(ctx, e)
	if err != nil {
		return err
	}
	body := ledger.ConfigBody{Base: status.Version, Operator: "bench", Text: text}
	rec, err := ledger.NewRecord(uuid.NewString(), ledger.KindConfig, "bench", body)
	if err != nil {
		return err
	}
	return logsvc.NewClient(c.logURL+"/", &http.Client{}).Append(ctx, ledger.StreamConfig, []ledger.Record{rec})
}
