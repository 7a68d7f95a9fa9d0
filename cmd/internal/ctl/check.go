package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"amaranthfork.example/client"
	"amaranthfork.example/config"
	"amaranthfork.example/fleet/compare"
	"amaranthfork.example/platform"
	"amaranthfork.example/sched/catalog"
)

// checkOptions are the flags of the check command.
type checkOptions struct {
	declarations string // file with the declarations for the users' platform; empty for the folder
	inForce      string // file with the declarations in force
	tableService string // host:port, for the declarations in force
	strict       bool
}

// checkReport is the result of the check command.
type checkReport struct {
	Findings    config.Findings      `json:"findings"`              // faults
	Warnings    config.Findings      `json:"warnings"`              // declarations without effect, limits that contradict each other
	Base        string               `json:"base,omitempty"`        // what was compared with; empty if nothing was
	Differences []compare.Difference `json:"differences,omitempty"` // from the base
	NotCompared string               `json:"notCompared,omitempty"` // why the version in force could not be read
}

func (a *app) checkCommand() *cobra.Command {
	var o checkOptions
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check a configuration before it is sent",
		Long: `Check a configuration before it is sent: faults, declarations that can never have
an effect, limits that contradict each other, and what differs from the version in
force.

Without --declarations, the configuration folder is checked, and compared with the
accepted configuration if --server is set. With --declarations, a JSON file for the
users' platform is checked, and compared with --in-force or --table-service.
Only the comparison needs a server. Nothing is sent.

Exit codes: 0 no findings; 1 findings, or with --strict also warnings; 2 wrong command
line, or a file that cannot be read; 4 the version in force could not be read (the
findings are printed all the same).`,
		Args: cobra.NoArgs,
	}
	flags := cmd.Flags()
	flags.StringVar(&o.declarations, "declarations", "", "JSON file with declarations for the users' platform, to be checked in place of the folder")
	flags.StringVar(&o.inForce, "in-force", "", "JSON file with the declarations in force, to compare with")
	flags.StringVar(&o.tableService, "table-service", "", "host:port of the platform's table service, to read the declarations in force from")
	flags.BoolVar(&o.strict, "strict", false, "exit with 1 for warnings too")
	cmd.MarkFlagsMutuallyExclusive("in-force", "table-service")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		ctx, cancel := a.limit(cmd.Context())
		defer cancel()
		return wrapRun(a.check(ctx, o))
	}
	return cmd
}

// check checks and compares what the options name, and prints the result. It returns an
// error for findings, and for a comparison that failed.
func (a *app) check(ctx context.Context, o checkOptions) error {
	var report checkReport
	var err error
	if o.declarations == "" {
		if o.inForce != "" || o.tableService != "" {
			return &usageError{errors.New("--in-force and --table-service need --declarations")}
		}
		report, err = a.checkFolder(ctx)
	} else {
		report, err = checkDeclarations(ctx, o)
	}
	var notRead *notReadError
	if errors.As(err, &notRead) {
		report.NotCompared = notRead.Error()
	} else if err != nil {
		return err
	}
	if printErr := a.print(report, func() { a.showReport(report) }); printErr != nil {
		return printErr
	}
	switch {
	case len(report.Findings) > 0:
		return errFindings
	case o.strict && len(report.Warnings) > 0:
		return errWarnings
	}
	return err
}

var (
	errFindings = errors.New("the configuration has findings")
	errWarnings = errors.New("the configuration has warnings")
)

// notReadError means that the version in force could not be read.
type notReadError struct{ err error }

func (e *notReadError) Error() string {
	return fmt.Sprintf("the version in force could not be read: %v", e.err)
}

// showReport prints the report of a check as text.
func (a *app) showReport(r checkReport) {
	for _, f := range r.Findings {
		a.printLine("%s", f)
	}
	for _, f := range r.Warnings {
		a.printLine("warning: %s", f)
	}
	a.printLine("%s, %s", count(len(r.Findings), "finding"), count(len(r.Warnings), "warning"))
	if r.NotCompared != "" {
		a.printLine("not compared: %s", r.NotCompared)
	}
	if r.Base == "" {
		return
	}
	a.printLine("differences from %s:", r.Base)
	for _, d := range r.Differences {
		a.printLine("  %s", d)
	}
	if len(r.Differences) == 0 {
		a.printLine("  (none)")
	}
}

// checkFolder checks the configuration folder, and compares it with the accepted
// configuration if a server is set.
func (a *app) checkFolder(ctx context.Context) (checkReport, error) {
	folder, err := a.loadFolder()
	if err != nil {
		return checkReport{}, err
	}
	var c *client.Client
	if a.server != "" {
		if c, err = a.client(); err != nil {
			return checkReport{}, err
		}
	}
	snapshot, findings, warnings := config.Check(folder)
	report := checkReport{Findings: append(config.Findings{}, findings...), Warnings: append(config.Findings{}, warnings...)}
	if c == nil || len(findings) > 0 {
		return report, nil
	}
	accepted, err := fetch(ctx, c)
	if err != nil {
		return report, &notReadError{err}
	}
	report.Base = fmt.Sprintf("revision %d", accepted.revision)
	report.Differences = config.Compare(accepted.snapshot, snapshot)
	return report, nil
}

// checkDeclarations checks a file with declarations for the users' platform, and compares
// it with the declarations in force if the options tell where they are.
func checkDeclarations(ctx context.Context, o checkOptions) (checkReport, error) {
	content, err := os.ReadFile(o.declarations)
	if err != nil {
		return checkReport{}, &usageError{err}
	}
	report := checkReport{Findings: config.Findings{}, Warnings: config.Findings{}}
	declared, err := platform.DecodeDeclarations(content)
	if err != nil {
		report.Findings = append(report.Findings, syntaxFinding(o.declarations, content, err))
		return report, nil
	}
	unknown, err := platform.UnknownFields(content)
	if err != nil {
		return report, err
	}
	places := config.NewLocator(content)
	for _, field := range unknown {
		report.add(findingAt(o.declarations, places, fmt.Sprintf("field %q has no effect: the platform does not have it", field.Name), field.Path), false)
	}
	for _, problem := range catalog.Check(declared) {
		report.add(findingAt(o.declarations, places, problem.Message, platform.DeclarationPaths(problem.Place)...), problem.Error)
	}
	inForce, base, err := declarationsInForce(ctx, o)
	if err != nil || inForce == nil {
		return report, err
	}
	if declared.Version <= inForce.Version {
		place := catalog.Place{Kind: catalog.KindConfiguration, Field: catalog.FieldVersion}
		message := fmt.Sprintf("version %d is not higher than %d, which is in force", declared.Version, inForce.Version)
		report.add(findingAt(o.declarations, places, message, platform.DeclarationPaths(place)...), true)
	}
	report.Base = fmt.Sprintf("version %d (%s)", inForce.Version, base)
	report.Differences = catalog.Compare(inForce.Catalog(), declared.Catalog())
	return report, nil
}

// add adds a fault, or a warning.
func (r *checkReport) add(f config.Finding, fault bool) {
	if fault {
		r.Findings = append(r.Findings, f)
	} else {
		r.Warnings = append(r.Warnings, f)
	}
}

// findingAt returns a finding at the first of the paths that the file has.
func findingAt(file string, places *config.Locator, message string, paths ...string) config.Finding {
	f := config.Finding{File: file, Message: message}
	if line, column, found := places.Locate(paths...); found {
		f.Line, f.Column = line, column
	}
	return f
}

// syntaxFinding returns the finding for a file that cannot be decoded.
func syntaxFinding(file string, content []byte, err error) config.Finding {
	f := config.Finding{File: file, Message: err.Error()}
	offset := int64(-1)
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &wrongType):
		offset = wrongType.Offset
	}
	if offset >= 0 {
		f.Line, f.Column = config.LineAt(content, int(offset))
	}
	return f
}

// declarationsInForce reads the declarations to compare with, and tells where they are
// from. They are nil if the options name none.
func declarationsInForce(ctx context.Context, o checkOptions) (*catalog.Declarations, string, error) {
	switch {
	case o.inForce != "":
		content, err := os.ReadFile(o.inForce)
		if err != nil {
			return nil, "", &usageError{err}
		}
		d, err := platform.DecodeDeclarations(content)
		if err != nil {
			return nil, "", &usageError{fmt.Errorf("%s: %w", o.inForce, err)}
		}
		return d, o.inForce, nil
	case o.tableService != "":
		d, err := platform.DeclarationsInForce(ctx, o.tableService)
		if err != nil {
			return nil, "", &notReadError{err}
		}
		return d, o.tableService, nil
	}
	return nil, "", nil
}
