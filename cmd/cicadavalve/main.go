// Command cicadavalve runs the entry daemon and provides the operator's commands.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	os.Exit(run())
}

// run returns the exit status.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newRoot().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "cicadavalve:", err)
		return 1
	}
	return 0
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "cicadavalve",
		Short:         "Serves prompts whose callers return after long gaps",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newEntryCommand(), newDaemonCommand(), newExplainCommand(), newCheckCommand(), newApplyCommand(), newShowCommand(),
		newReplayCommand(), newDiffCommand(), newVersionCommand(),
	)
	return root
}
