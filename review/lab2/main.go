// Command lab2 plays the cases of the second review: it starts the project's programs as processes on loopback addresses, with
// stand-ins for the store, the routers, the servers and the requesters, and judges what these see.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// logsDir is the variable that names a folder to which the daemons' logs are copied.
const logsDir = "LAB2_LOGS"

// maxTime bounds a case.
const maxTime = 100 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE RECORD; TROUBLE=0 leaves the disruption out")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case in a temporary folder.
func play(name, path string) int {
	cases := map[string]func(w *world, trouble bool) error{
		"deregister": lostDeregistration,
		"rerouted":   reroutedFlows,
		"killed":     killedAfterChange,
	}
	c := cases[name]
	if c == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return notRun
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	dir, err := os.MkdirTemp("", "lab2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer os.RemoveAll(dir) //nolint:errcheck // It is a temporary folder.
	w, err := newWorld(r, dir)
	if err != nil {
		r.note("the case could not run: %v", err)
		return notRun
	}
	defer w.close()
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- c(w, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-done:
	case <-end:
		err = errors.New("ended by a signal")
	case <-time.After(maxTime):
		err = fmt.Errorf("not done after %s", maxTime)
	}
	if to := os.Getenv(logsDir); to != "" {
		w.keepLogs(to)
	}
	if err != nil {
		r.note("the case could not run: %v", err)
		return notRun
	}
	if r.result() > 0 {
		return broken
	}
	return held
}
