// Command cvlab is the workbench: it runs stand-ins for the platform, offers load and compares routing policies.
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
		fmt.Fprintln(os.Stderr, "cvlab:", err)
		return 1
	}
	return 0
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use: "cvlab", Short: "Stand-ins and load generator for cicadavalve", SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(newStandCommand(), newLoadCommand(), newReportCommand(), newGetCommand(), newCompareCommand())
	return root
}
