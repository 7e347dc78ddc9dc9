// Command standin runs the cases of the review that are scripts: it starts the daemons as processes on loopback addresses,
// with stand-ins for the platform, the servers and the requesters. It exits with 1 if the rule was broken, 0 if it held
// and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds a run.
const maxTime = 110 * time.Second

// cases are the cases by name. Trouble is false for the run without the disruption.
var cases = map[string]func(ctx context.Context, rec *record, programs string, trouble bool) error{
	"drain": runDrain,
	"flow":  runFlow,
}

func main() {
	name := flag.String("case", "", "name of the case")
	programs := flag.String("programs", "target", "folder of the daemons")
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(run(*name, *programs, *path, os.Getenv("TROUBLE") != "0"))
}

func run(name, programs, path string, trouble bool) int {
	f := cases[name]
	if f == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return 2
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	// A signal ends the case, which ends the processes that it has started.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxTime)
	defer cancel()
	err = f(ctx, rec, programs, trouble)
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		rec.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if n := rec.breaks(); n > 0 {
		fmt.Printf("rule broken %d times, see %s\n", n, path)
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
