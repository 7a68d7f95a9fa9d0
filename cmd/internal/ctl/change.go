package ctl

import (
	"context"
	"errors"
	"fmt"
	"maps"

	"github.com/spf13/cobra"

	"amaranthfork.example/client"
	"amaranthfork.example/config"
	"amaranthfork.example/fleet"
)

// maxRebases bounds how often a single-file change is repeated on a newer base
// because another change was accepted in between.
const maxRebases = 10

// singleFileChange is a change that adds one file. It has the same effect on
// every base, so it can be repeated after a conflict.
type singleFileChange struct {
	nameLabel string // descriptive part of the file's name
	content   []byte
	// check returns an error if the change cannot be applied to the accepted
	// configuration, and errNothingToDo if it would have no effect.
	check func(s *config.Snapshot) error
}

// errNothingToDo means that the accepted configuration has the wanted state.
var errNothingToDo = errors.New("the accepted configuration already has this state")

// applySingleFile writes the file of a change into the folder and applies the
// change. It removes the file again if the change was certainly not accepted.
// All tries use the same change id.
func (a *app) applySingleFile(ctx context.Context, c *client.Client, change singleFileChange) (client.Applied, error) {
	local, err := a.loadFolder()
	if err != nil {
		return client.Applied{}, err
	}
	id := a.NewID()
	for rebase := 0; ; rebase++ {
		applied, err := a.tryApplySingleFile(ctx, c, local, id, change)
		if err == nil || exitCode(err) != ExitConflict || rebase == maxRebases {
			return applied, err
		}
		a.progress("another change was accepted first, trying again")
	}
}

// tryApplySingleFile applies a change to the configuration that is accepted
// now. The number in its file's name follows those of the local and the
// accepted files.
func (a *app) tryApplySingleFile(ctx context.Context, c *client.Client, local config.Folder, id string, single singleFileChange) (client.Applied, error) {
	server, err := fetch(ctx, c)
	if err != nil {
		return client.Applied{}, err
	}
	if server.snapshot != nil {
		if err := single.check(server.snapshot); err != nil {
			return client.Applied{Revision: server.revision}, err
		}
	}
	all := maps.Clone(local)
	maps.Copy(all, server.folder)
	name, err := all.NextFileName(single.nameLabel)
	if err != nil {
		return client.Applied{}, err
	}
	if err := a.writeFile(name, single.content); err != nil {
		return client.Applied{}, err
	}
	a.progress("wrote %s", name)
	change := config.Change{ID: id, Base: server.revision, Put: []config.File{{Name: name, Content: single.content}}}
	applied, err := a.applyUntilInForce(ctx, c, change)
	if err != nil && exitCode(err) != ExitUnknown {
		err = errors.Join(err, a.removeFile(name))
	}
	return applied, err
}

// printSingleFileResult prints the result of a single-file change; done
// describes the state that it leads to.
func (a *app) printSingleFileResult(applied client.Applied, err error, done string) error {
	if errors.Is(err, errNothingToDo) {
		return a.print(appliedOutput{Revision: applied.Revision}, func() { a.printLine("nothing to do: %s in revision %d", done, applied.Revision) })
	}
	if err != nil {
		return err
	}
	return a.print(appliedOutput{Revision: applied.Revision, InForceAfterMS: applied.InForceAfterMS}, func() {
		a.printLine("%s: revision %d is in force everywhere after %d ms", done, applied.Revision, applied.InForceAfterMS)
	})
}

func (a *app) dataCentreCommand() *cobra.Command {
	return group("dc", "Take a data centre out of service or bring it back",
		a.dataCentreStateCommand(fleet.DataCentreOut, "Take a data centre out of service: no task starts there"),
		a.dataCentreStateCommand(fleet.DataCentreIn, "Bring a data centre back into service"),
	)
}

// dataCentreStateCommand returns the command that sets a data centre's state.
func (a *app) dataCentreStateCommand(state fleet.DataCentreState, short string) *cobra.Command {
	return &cobra.Command{
		Use:   string(state) + " NAME",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: a.remote(func(ctx context.Context, c *client.Client, args []string) error {
			name := fleet.DataCentreName(args[0])
			applied, err := a.applySingleFile(ctx, c, singleFileChange{
				nameLabel: fmt.Sprintf("dc-%s-%s", state, name),
				content:   config.DataCentreFile(name, state),
				check: func(s *config.Snapshot) error {
					dc, exists := s.DataCentres[name]
					switch {
					case !exists:
						return fmt.Errorf("there is no data centre %s", name)
					case dc.State == state:
						return errNothingToDo
					}
					return nil
				},
			})
			return a.printSingleFileResult(applied, err, fmt.Sprintf("data centre %s is %s", name, state))
		}),
	}
}

func (a *app) keyCommand() *cobra.Command {
	return group("key", "Grant or withdraw a key of a team", a.keyNewCommand(), a.keyWithdrawCommand())
}

func (a *app) keyNewCommand() *cobra.Command {
	var id string
	cmd := &cobra.Command{
		Use:   "new TEAM",
		Short: "Make a key for a team and grant it; the secret is shown once",
		Args:  cobra.ExactArgs(1),
		RunE: a.remote(func(ctx context.Context, c *client.Client, args []string) error {
			return a.newKey(ctx, c, fleet.TeamName(args[0]), fleet.KeyID(id))
		}),
	}
	cmd.Flags().StringVar(&id, "id", "", "id of the key; chosen at random if not given")
	return cmd
}

// newKeyOutput is the JSON result of "key new".
type newKeyOutput struct {
	Key      string         `json:"key"` // key id and secret: "ID.SECRET"
	Team     fleet.TeamName `json:"team"`
	Revision fleet.Revision `json:"revision"`
}

// newKey makes a key, grants it to a team and prints it. The key is also
// printed if the outcome of the change is unknown, because its secret is not
// stored anywhere.
func (a *app) newKey(ctx context.Context, c *client.Client, team fleet.TeamName, id fleet.KeyID) error {
	key, presented, err := config.NewKey(a.Random, id, team)
	if err != nil {
		return &usageError{err}
	}
	applied, err := a.applySingleFile(ctx, c, singleFileChange{
		nameLabel: fmt.Sprintf("key-%s", key.ID),
		content:   config.KeyFile(key),
		check: func(s *config.Snapshot) error {
			if _, exists := s.Teams[team]; !exists {
				return fmt.Errorf("there is no team %s", team)
			}
			if old, exists := s.Keys[key.ID]; exists {
				return fmt.Errorf("key %s exists already, for team %s", key.ID, old.Team)
			}
			return nil
		},
	})
	if err != nil && exitCode(err) != ExitUnknown {
		return err
	}
	return errors.Join(err, a.print(newKeyOutput{presented, team, applied.Revision}, func() {
		a.printLine("key %s of team %s, shown only here: %s", key.ID, team, presented)
		if err == nil {
			a.printLine("revision %d is in force everywhere after %d ms", applied.Revision, applied.InForceAfterMS)
		}
	}))
}

func (a *app) keyWithdrawCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "withdraw KEYID",
		Short: "Withdraw a key",
		Args:  cobra.ExactArgs(1),
		RunE: a.remote(func(ctx context.Context, c *client.Client, args []string) error {
			id := fleet.KeyID(args[0])
			applied, err := a.applySingleFile(ctx, c, singleFileChange{
				nameLabel: fmt.Sprintf("key-%s-withdrawn", id),
				content:   config.KeyWithdrawnFile(id),
				check: func(s *config.Snapshot) error {
					key, exists := s.Keys[id]
					switch {
					case !exists:
						return fmt.Errorf("there is no key %s", id)
					case key.Withdrawn:
						return errNothingToDo
					}
					return nil
				},
			})
			return a.printSingleFileResult(applied, err, fmt.Sprintf("key %s is withdrawn", id))
		}),
	}
}
