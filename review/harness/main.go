package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	notRun  = 2
	maxTime = 115 * time.Second
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

// stage is what a case runs on.
type stage struct {
	rec *record
	dir string
	// trouble is unset for the run without the disruption.
	trouble bool
	store   *store
	daemons []*daemon
}

func (s *stage) stop() {
	for _, d := range s.daemons {
		d.stop()
	}
}

var cases = map[string]func(s *stage) error{
	"late-isolation": lateIsolation,
}

func main() { os.Exit(run()) }

// run plays the case that the first argument names and writes its record to the folder that the second one names.
func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return notRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	s := &stage{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	defer s.stop()
	time.AfterFunc(maxTime, func() {
		rec.add("out of time")
		s.stop()
		os.Exit(notRun)
	})
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ended
		s.stop()
		os.Exit(notRun)
	}()
	err = cases[os.Args[1]](s)
	switch {
	case errors.Is(err, errBroken):
		rec.add("BROKEN: %v", err)
		fmt.Println(err)
		return broken
	case err != nil:
		rec.add("NOT RUN: %v", err)
		fmt.Println("the case could not run:", err)
		return notRun
	}
	rec.add("HELD")
	fmt.Println("the rule held")
	return held
}
