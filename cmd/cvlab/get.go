package main

import (
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// newGetCommand lets scripts read metrics over HTTP without another program.
func newGetCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "get HOST:PORT PATH",
		Short: "Print the response body of an HTTP GET",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) (err error) {
			defer func() { err = errors.Wrapf(err, "get %s%s", args[0], args[1]) }()
			resp, err := http.Get("http://" + args[0] + args[1])
			if err != nil {
				return err
			}
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), string(body))
			return err
		},
	}
}
