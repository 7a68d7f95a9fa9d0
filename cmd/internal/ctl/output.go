package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"

	"amaranthfork.example/client"
	"amaranthfork.example/config"
	"amaranthfork.example/fleet"
)

// isJSON reports whether the output is JSON.
func (a *app) isJSON() bool { return a.output == "json" }

// print writes a value as JSON or, if the output is text, calls printText instead.
func (a *app) print(value any, printText func()) error {
	if !a.isJSON() {
		printText()
		return nil
	}
	encoder := json.NewEncoder(a.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printLine writes a formatted line to standard output.
func (a *app) printLine(format string, args ...any) {
	fmt.Fprintf(a.Stdout, format+"\n", args...)
}

// progress writes a formatted line about work in progress. If the output is
// JSON, the line goes to standard error, so that standard output holds a
// single JSON value.
func (a *app) progress(format string, args ...any) {
	out := a.Stdout
	if a.isJSON() {
		out = a.Stderr
	}
	fmt.Fprintf(out, format+"\n", args...)
}

// table writes aligned columns; the titles in header are separated by "|".
func (a *app) table(header string, rows [][]any) {
	w := tabwriter.NewWriter(a.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ReplaceAll(header, "|", "\t"))
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = fmt.Sprint(cell)
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	_ = w.Flush() // errors of standard output are ignored, as everywhere in this package
}

// errorOutput is the JSON form of an error on standard error.
type errorOutput struct {
	Exit         int             `json:"exit"`
	Detail       string          `json:"detail"`
	Reason       fleet.Reason    `json:"reason,omitempty"`
	RetryAfterMS int64           `json:"retryAfterMS,omitempty"`
	Revision     fleet.Revision  `json:"revision,omitempty"`
	Findings     config.Findings `json:"findings,omitempty"`
}

// printError writes an error to standard error, as JSON if the output is JSON.
func (a *app) printError(err error) {
	out := errorOutput{Exit: exitCode(err), Detail: err.Error(), Findings: findingsOf(err)}
	var refusal *client.Error
	if errors.As(err, &refusal) {
		out.Reason, out.Revision = refusal.Reason, refusal.Revision
		out.RetryAfterMS = refusal.RetryAfter.Milliseconds()
	}
	var conflict *conflictError
	if errors.As(err, &conflict) {
		out.Reason, out.Revision = client.ReasonConflict, conflict.accepted
	}
	if a.isJSON() {
		if encoded, err := json.Marshal(out); err == nil {
			fmt.Fprintf(a.Stderr, "%s\n", encoded)
			return
		}
	}
	a.printErrorText(err, out)
}

// printErrorText writes an error to standard error as text.
func (a *app) printErrorText(err error, out errorOutput) {
	var usage *usageError
	switch {
	case len(out.Findings) > 0:
		fmt.Fprintln(a.Stderr, out.Findings.Error())
		fmt.Fprintf(a.Stderr, "amaranthctl: %s\n", count(len(out.Findings), "finding"))
	case errors.As(err, &usage):
		fmt.Fprintf(a.Stderr, "amaranthctl: %v; see amaranthctl --help\n", err)
	default:
		fmt.Fprintf(a.Stderr, "amaranthctl: %v\n", err)
	}
	if out.Revision > 0 {
		fmt.Fprintf(a.Stderr, "the accepted revision is %d; run \"amaranthctl pull\", look at the difference and apply again\n", out.Revision)
	}
	if out.RetryAfterMS > 0 {
		fmt.Fprintf(a.Stderr, "try again after %d ms\n", out.RetryAfterMS)
	}
}

// count returns a number with its noun, such as "1 file" or "2 files".
func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// yesNo returns "yes" or "no".
func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
