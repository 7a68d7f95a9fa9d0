package ctl

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"amaranthfork.example/client"
	"amaranthfork.example/config"
	"amaranthfork.example/fleet"
	"amaranthfork.example/fleet/compare"
)

const folderFileMode = 0o644

// loadFolder reads the configuration folder. A folder without files is a usage
// error, because it is most likely the wrong directory.
func (a *app) loadFolder() (config.Folder, error) {
	folder, err := config.Load(a.folder)
	if err != nil {
		return nil, &usageError{err}
	}
	if len(folder) == 0 {
		return nil, &usageError{fmt.Errorf("folder %q has no *.yaml files; pass --folder or set AMARANTH_FOLDER", a.folder)}
	}
	return folder, nil
}

// loadValid reads and checks the configuration folder. Its error holds the
// findings, if there are any.
func (a *app) loadValid() (config.Folder, *config.Snapshot, error) {
	folder, err := a.loadFolder()
	if err != nil {
		return nil, nil, err
	}
	snapshot, findings := config.Build(folder, 0)
	return folder, snapshot, findings.Err()
}

// acceptedConfig is the configuration that the server has accepted.
type acceptedConfig struct {
	revision fleet.Revision
	folder   config.Folder
	snapshot *config.Snapshot // nil if this version of amaranthctl has findings in folder
}

// fetch reads the accepted configuration from the server.
func fetch(ctx context.Context, c *client.Client) (acceptedConfig, error) {
	answer, err := c.Configuration(ctx)
	if err != nil {
		return acceptedConfig{}, err
	}
	folder := make(config.Folder, len(answer.Files))
	for _, file := range answer.Files {
		folder[file.Name] = file.Content
	}
	snapshot, _ := config.Build(folder, answer.Revision)
	return acceptedConfig{answer.Revision, folder, snapshot}, nil
}

// apiFiles converts files to those of the API.
func apiFiles(files []config.File) []client.File {
	list := make([]client.File, len(files))
	for i, file := range files {
		list[i] = client.File(file)
	}
	return list
}

func (a *app) validateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "validate",
		Short: "Check the configuration folder; needs no server",
		Args:  cobra.NoArgs,
		RunE: a.local(func([]string) error {
			folder, _, err := a.loadValid()
			if err != nil {
				return err
			}
			result := struct {
				Files    int             `json:"files"`
				Findings config.Findings `json:"findings"`
			}{len(folder), config.Findings{}}
			return a.print(result, func() { a.printLine("%s, no findings", count(len(folder), "file")) })
		}),
	}
}

// folderChange is the difference between the accepted configuration and the
// folder.
type folderChange struct {
	Base        fleet.Revision       `json:"base"`
	Put         []string             `json:"put"`
	Removed     []string             `json:"removed"`
	Differences []compare.Difference `json:"differences"`

	change config.Change
}

// compare checks the folder and compares it with the accepted configuration.
func (a *app) compare(ctx context.Context, c *client.Client) (folderChange, error) {
	folder, snapshot, err := a.loadValid()
	if err != nil {
		return folderChange{}, err
	}
	server, err := fetch(ctx, c)
	if err != nil {
		return folderChange{}, err
	}
	change := config.Diff(server.folder, folder)
	result := folderChange{
		Base:        server.revision,
		Put:         []string{},
		Removed:     append([]string{}, change.Removed...),
		Differences: append([]compare.Difference{}, config.Compare(server.snapshot, snapshot)...),
		change:      change,
	}
	for _, file := range change.Put {
		result.Put = append(result.Put, file.Name)
	}
	return result, nil
}

// showChange prints what apply would change, as text.
func (a *app) showChange(d folderChange) {
	for _, name := range d.Put {
		a.printLine("put     %s", name)
	}
	for _, name := range d.Removed {
		a.printLine("remove  %s", name)
	}
	for _, difference := range d.Differences {
		a.printLine("  %s", difference)
	}
	if len(d.Differences) == 0 {
		a.printLine("  (the merged configuration stays the same)")
	}
}

func (a *app) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff",
		Short: "Show what apply would change",
		Args:  cobra.NoArgs,
		RunE: a.remote(func(ctx context.Context, c *client.Client, _ []string) error {
			difference, err := a.compare(ctx, c)
			if err != nil {
				return err
			}
			return a.print(difference, func() {
				if difference.change.Empty() {
					a.printLine("no difference from revision %d", difference.Base)
					return
				}
				a.printLine("changes to revision %d:", difference.Base)
				a.showChange(difference)
			})
		}),
	}
}

// applyOptions are the flags of the apply command.
type applyOptions struct {
	id    string
	base  uint64
	prune bool
}

func (a *app) applyCommand() *cobra.Command {
	var o applyOptions
	cmd := &cobra.Command{
		Use:   "apply",
		Short: "Apply the configuration folder and wait until it is in force everywhere",
		Long: `Apply the configuration folder and wait until it is in force everywhere.

A folder that lacks files of the accepted configuration is refused without
--prune, because another operator may have added them. After exit code 5, apply
again with the --id that was shown: the same change is not applied twice.`,
		Args: cobra.NoArgs,
		RunE: a.remote(func(ctx context.Context, c *client.Client, _ []string) error {
			return a.applyFolder(ctx, c, o)
		}),
	}
	cmd.Flags().StringVar(&o.id, "id", "", "id of the change; the same id is not applied twice")
	cmd.Flags().Uint64Var(&o.base, "base", 0, "refuse the change unless this is the accepted revision")
	cmd.Flags().BoolVar(&o.prune, "prune", false, "remove accepted files that the folder does not have")
	return cmd
}

// applyFolder applies the difference between the folder and the server.
func (a *app) applyFolder(ctx context.Context, c *client.Client, o applyOptions) error {
	difference, err := a.compare(ctx, c)
	if err != nil {
		return err
	}
	base := fleet.Revision(o.base)
	if base != 0 && base != difference.Base {
		return &conflictError{fmt.Sprintf("revision %d is not the accepted one", base), difference.Base}
	}
	if len(difference.Removed) > 0 && !o.prune {
		text := fmt.Sprintf("the folder lacks accepted files, which --prune would remove: %s", joinNames(difference.Removed))
		return &conflictError{text, difference.Base}
	}
	// With --id the change is sent even if it is empty: the server may have
	// accepted it under this id already and can confirm that.
	if difference.change.Empty() && o.id == "" {
		return a.print(appliedOutput{Revision: difference.Base}, func() { a.printLine("nothing to apply, the folder is revision %d", difference.Base) })
	}
	change := difference.change
	change.ID, change.Base = o.id, difference.Base
	if change.ID == "" {
		change.ID = a.NewID()
	}
	if !a.isJSON() {
		a.showChange(difference)
	}
	if err := a.applyChange(ctx, c, change); err != nil || o.id == "" {
		return err
	}
	return a.checkApplied(ctx, c, o.id)
}

// checkApplied returns a conflict if the folder still differs from the accepted
// configuration after apply with --id. The server ignores the content of a
// change whose id it knows, so the folder may hold edits that were made after
// the first apply with that id.
func (a *app) checkApplied(ctx context.Context, c *client.Client, id string) error {
	remaining, err := a.compare(ctx, c)
	if err != nil || remaining.change.Empty() {
		return err
	}
	text := fmt.Sprintf("change %s was accepted earlier, and the folder has been edited since; apply again without --id", id)
	return &conflictError{text, remaining.Base}
}

// joinNames joins up to five names and appends the number of the others.
func joinNames(names []string) string {
	const shown = 5
	text := ""
	for i, name := range names[:min(len(names), shown)] {
		if i > 0 {
			text += ", "
		}
		text += name
	}
	if len(names) > shown {
		text += fmt.Sprintf(" and %d more", len(names)-shown)
	}
	return text
}

// appliedOutput is the JSON result of a change.
type appliedOutput struct {
	ID             string         `json:"id,omitempty"`
	Revision       fleet.Revision `json:"revision"`
	InForceAfterMS int64          `json:"inForceAfterMS"`
}

// applyChange applies a change, waits until it is in force everywhere and
// prints the result.
func (a *app) applyChange(ctx context.Context, c *client.Client, change config.Change) error {
	applied, err := a.applyUntilInForce(ctx, c, change)
	if err != nil {
		return err
	}
	result := appliedOutput{change.ID, applied.Revision, applied.InForceAfterMS}
	return a.print(result, func() {
		a.printLine("revision %d is in force everywhere after %d ms", applied.Revision, applied.InForceAfterMS)
	})
}

// applyUntilInForce applies a change and waits until the server confirms that
// it is in force everywhere.
func (a *app) applyUntilInForce(ctx context.Context, c *client.Client, change config.Change) (client.Applied, error) {
	a.progress("applying change %s to revision %d", change.ID, change.Base)
	request := client.Change{ID: change.ID, Base: change.Base, Put: apiFiles(change.Put), Removed: change.Removed}
	applied, err := c.Apply(ctx, request)
	if err != nil {
		return applied, a.explainUnknown(err, change.ID)
	}
	return a.waitUntilInForce(ctx, c, request, applied)
}

// explainUnknown adds to an error with unknown outcome how to find out whether
// the change was accepted.
func (a *app) explainUnknown(err error, id string) error {
	var unknown *client.UnknownError
	if errors.As(err, &unknown) {
		return fmt.Errorf("%w; apply again with --id %s to find out", err, id)
	}
	return err
}

// waitUntilInForce repeats an accepted change under the same id, which doesn't
// apply it twice, until the server reports that it is in force everywhere. It
// returns a pendingError if ctx ends first.
func (a *app) waitUntilInForce(ctx context.Context, c *client.Client, request client.Change, applied client.Applied) (client.Applied, error) {
	detail := ""
	for applied.Pending {
		if applied.Detail != detail || detail == "" {
			detail = applied.Detail
			a.progress("revision %d is accepted, waiting until every entry has it: %s", applied.Revision, detail)
		}
		pending := &pendingError{fmt.Sprintf("revision %d is accepted, but not every entry is known to have it; apply again with --id %s to wait for it", applied.Revision, request.ID)}
		if fleet.Sleep(ctx, a.PollInterval) != nil {
			return applied, pending
		}
		next, err := c.Apply(ctx, request)
		switch {
		case ctx.Err() != nil:
			return applied, pending
		case err != nil:
			return applied, fmt.Errorf("%w (%w)", pending, err)
		}
		applied = next
	}
	return applied, nil
}

func (a *app) pullCommand() *cobra.Command {
	prune := false
	cmd := &cobra.Command{
		Use:   "pull",
		Short: "Write the files of the accepted configuration into the folder",
		Long: `Write the files of the accepted configuration into the folder. Files that only
the folder has are kept without --prune; apply would put them again, also when
another operator has removed or compacted them.`,
		Args: cobra.NoArgs,
		RunE: a.remote(func(ctx context.Context, c *client.Client, _ []string) error {
			return a.pull(ctx, c, prune)
		}),
	}
	cmd.Flags().BoolVar(&prune, "prune", false, "remove files that only the folder has")
	return cmd
}

// pullOutput is the JSON result of the pull command.
type pullOutput struct {
	Revision fleet.Revision `json:"revision"`
	Written  int            `json:"written"`
	Kept     []string       `json:"kept"`    // files that are not accepted, left in the folder
	Removed  []string       `json:"removed"` // files that were not accepted, removed with --prune
}

// pull writes the accepted files that are missing in the folder or differ
// there. With prune it removes files that only the folder has.
func (a *app) pull(ctx context.Context, c *client.Client, prune bool) error {
	folder, err := config.Load(a.folder)
	if err != nil {
		return &usageError{err}
	}
	server, err := fetch(ctx, c)
	if err != nil {
		return err
	}
	change := config.Diff(folder, server.folder)
	if findings := (config.Change{Put: change.Put}).Check(); len(findings) > 0 {
		return findings // the server's file names are not trusted: they could lead out of the folder
	}
	result := pullOutput{Revision: server.revision, Written: len(change.Put), Kept: []string{}, Removed: []string{}}
	if prune {
		result.Removed = append(result.Removed, change.Removed...)
	} else {
		result.Kept = append(result.Kept, change.Removed...)
	}
	if err := a.replaceFiles(change.Put, result.Removed); err != nil {
		return err
	}
	return a.print(result, func() { a.showPull(result) })
}

// showPull prints the result of pull as text.
func (a *app) showPull(result pullOutput) {
	a.printLine("wrote %s of revision %d", count(result.Written, "file"), result.Revision)
	for _, name := range result.Removed {
		a.printLine("removed %s, which is not accepted", name)
	}
	for _, name := range result.Kept {
		a.printLine("kept %s, which is not accepted", name)
	}
}

// replaceFiles writes files and then removes others, both in the order of their
// names, in which they must be given. An interrupted compaction then leaves the
// later files, so an object that one of them removes does not come back.
func (a *app) replaceFiles(put []config.File, removed []string) error {
	for _, file := range put {
		if err := a.writeFile(file.Name, file.Content); err != nil {
			return err
		}
	}
	for _, name := range removed {
		if err := a.removeFile(name); err != nil {
			return err
		}
	}
	return nil
}

// writeFile writes a file in the configuration folder.
func (a *app) writeFile(name string, content []byte) error {
	if err := os.WriteFile(filepath.Join(a.folder, name), content, folderFileMode); err != nil {
		return fmt.Errorf("write configuration file: %w", err)
	}
	return nil
}

// removeFile removes a file from the configuration folder.
func (a *app) removeFile(name string) error {
	if err := os.Remove(filepath.Join(a.folder, name)); err != nil {
		return fmt.Errorf("remove configuration file: %w", err)
	}
	return nil
}

func (a *app) compactCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "compact",
		Short: "Fold the files of the folder into one; needs no server",
		Long: `Fold the files of the configuration folder into one, or a few large ones, with
the same meaning. Comments are lost. Afterwards, look at the result and run
"amaranthctl apply --prune".`,
		Args: cobra.NoArgs,
		RunE: a.local(func([]string) error { return a.compact() }),
	}
}

// compact replaces the files of the folder by fewer files with the same meaning.
func (a *app) compact() error {
	folder, err := a.loadFolder()
	if err != nil {
		return err
	}
	compacted, findings := config.Compact(folder)
	if len(findings) > 0 {
		return findings
	}
	change := config.Diff(folder, compacted)
	if err := a.replaceFiles(change.Put, change.Removed); err != nil {
		return err
	}
	result := struct {
		Before int `json:"before"`
		After  int `json:"after"`
	}{len(folder), len(compacted)}
	return a.print(result, func() {
		a.printLine("folded %s into %d; look at the result and run \"amaranthctl apply --prune\"", count(len(folder), "file"), len(compacted))
	})
}
