// Command stand runs the cases of the third review: it starts entries as processes, and stands in
// for the platform, its workers, its operator and the consumers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
)

// cases are the cases by name. trouble is false for a run without the disruption. The result is
// true if the rule held.
var cases = map[string]func(w *world, trouble bool) bool{}

func main() {
	if len(os.Args) >= 3 && os.Args[1] == "worker" {
		runWorker()
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER; cases:", names)
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		w.end(2)
	}()
	held := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	code := 0
	if !held {
		code = 1
	}
	w.end(code)
}
