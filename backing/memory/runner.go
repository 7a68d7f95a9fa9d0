package memory

import (
	"bytes"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/fleet"
)

// maxRunBodyBytes is the largest answer of a task.
const maxRunBodyBytes = 8 << 20

// CommandRunner runs a task as its command requests, so that callers over HTTP can
// choose how long tasks take and what they really use. A command is a name, which
// has no effect, optionally followed by parameters in the form of a URL query:
//
//	time=1s          run time at full speed, 1 s by default
//	fail=1           the task fails
//	bytes=100        answer with this many bytes; the payload by default
//	milliCPU=500     thousandths of a processor used; the declared need by default
//	memoryMB=100     mebibytes of memory used; the declared need by default
//	nocheckpoint=1   the task cannot be checkpointed
//
// For example: "cut?time=200ms&memoryMB=64". A task with an invalid command
// fails at once.
func CommandRunner(vm fleet.VMID, task backing.Task, at time.Time) Run {
	run, err := parseRun(vm, task, at)
	if err != nil {
		return Run{Failed: true, Detail: fmt.Sprintf("command %q: %v", task.Command, err)}
	}
	return run
}

func parseRun(vm fleet.VMID, task backing.Task, at time.Time) (Run, error) {
	run := EchoRunner(vm, task, at)
	_, query, _ := strings.Cut(task.Command, "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		return run, err
	}
	run.NoCheckpoint = values.Get("nocheckpoint") != ""
	if values.Get("fail") != "" {
		run.Failed, run.Detail = true, "failure requested by the command"
	}
	if text := values.Get("time"); text != "" {
		if run.Time, err = time.ParseDuration(text); err != nil {
			return run, err
		}
	}
	size := int64(-1)
	for name, to := range map[string]*int64{
		"bytes": &size, "milliCPU": &run.Usage.MilliCPU, "memoryMB": &run.Usage.MemoryMB,
	} {
		if text := values.Get(name); text != "" {
			if *to, err = strconv.ParseInt(text, 10, 64); err != nil {
				return run, fmt.Errorf("parameter %s: %w", name, err)
			}
		}
	}
	if size > maxRunBodyBytes {
		return run, fmt.Errorf("parameter bytes: %d is over the limit of %d", size, maxRunBodyBytes)
	}
	if size >= 0 {
		run.Body = bytes.Repeat([]byte("x"), int(size))
	}
	return run, nil
}
