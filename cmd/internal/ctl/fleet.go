package ctl

import (
	"context"

	"github.com/spf13/cobra"

	"amaranthfork.example/client"
	"amaranthfork.example/config"
	"amaranthfork.example/fleet"
)

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show entries, data centres and warnings",
		Args:  cobra.NoArgs,
		RunE: a.remote(func(ctx context.Context, c *client.Client, _ []string) error {
			status, err := c.Status(ctx)
			if err != nil {
				return err
			}
			return a.print(status, func() { a.showStatus(status) })
		}),
	}
}

// showStatus prints the state of the fleet as text.
func (a *app) showStatus(s client.Status) {
	view, store := "current", "reachable"
	if !s.Fresh {
		view = "not current, so keyed work is refused"
	}
	if !s.StoreReachable {
		store = "not reachable"
	}
	a.printLine("revision %d; view %s; store %s\n", s.Revision, view, store)
	var rows [][]any
	for _, m := range s.Members {
		rows = append(rows, []any{m.ID, m.DataCentre, m.Address})
	}
	a.table("ENTRY|DATA CENTRE|ADDRESS", rows)
	a.printLine("")
	rows = nil
	for _, dc := range s.DataCentres {
		rows = append(rows, []any{dc.Name, dc.State, dc.FreeSlots, dc.TotalSlots})
	}
	a.table("DATA CENTRE|STATE|FREE SLOTS|SLOTS", rows)
	for _, w := range s.Warnings {
		a.printLine("\nwarning: %s: %s\n  action: %s", w.Subject, w.Message, w.Action)
	}
}

func (a *app) poolsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "pools",
		Short: "Show pools with their budgets and free slots",
		Args:  cobra.NoArgs,
		RunE: a.remote(func(ctx context.Context, c *client.Client, _ []string) error {
			pools, err := c.Pools(ctx)
			if err != nil {
				return err
			}
			var rows [][]any
			for _, p := range pools {
				rows = append(rows, []any{p.Name, yesNo(p.Spare), p.VMs, p.Unavailable, p.Budget, p.FreeSlots, p.TotalSlots})
			}
			return a.print(append([]client.Pool{}, pools...), func() {
				a.table("POOL|SPARE|VMS|UNAVAILABLE|BUDGET|FREE SLOTS|SLOTS", rows)
			})
		}),
	}
}

func (a *app) teamsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "teams",
		Short: "Show teams with their shares, limits and work",
		Args:  cobra.NoArgs,
		RunE: a.remote(func(ctx context.Context, c *client.Client, _ []string) error {
			teams, err := c.Teams(ctx)
			if err != nil {
				return err
			}
			var rows [][]any
			for _, t := range teams {
				rows = append(rows, []any{t.Name, config.FormatThousandths(t.Share), t.Limit, t.Running, t.Queued})
			}
			return a.print(append([]client.Team{}, teams...), func() {
				a.table("TEAM|SHARE|LIMIT|RUNNING|QUEUED", rows)
			})
		}),
	}
}

// doneOutput is the JSON result of a command that has no other result.
type doneOutput struct {
	Done string `json:"done"`
}

// printDone prints what a command has done.
func (a *app) printDone(text string) error {
	return a.print(doneOutput{text}, func() { a.printLine("%s", text) })
}

func (a *app) drainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "drain VM",
		Short: "Give a VM no new work; its running tasks finish",
		Args:  cobra.ExactArgs(1),
		RunE: a.remote(func(ctx context.Context, c *client.Client, args []string) error {
			if err := c.Drain(ctx, fleet.VMID(args[0])); err != nil {
				return err
			}
			return a.printDone("VM " + args[0] + " is draining")
		}),
	}
}

func (a *app) undrainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "undrain VM",
		Short: "End the drain of a VM",
		Args:  cobra.ExactArgs(1),
		RunE: a.remote(func(ctx context.Context, c *client.Client, args []string) error {
			if err := c.Undrain(ctx, fleet.VMID(args[0])); err != nil {
				return err
			}
			return a.printDone("VM " + args[0] + " is back in service")
		}),
	}
}

func (a *app) maintenanceCommand() *cobra.Command {
	return group("maintenance", "Show, pause or resume maintenance",
		&cobra.Command{
			Use:   "status",
			Short: "Show the state of maintenance",
			Args:  cobra.NoArgs,
			RunE: a.remote(func(ctx context.Context, c *client.Client, _ []string) error {
				return a.maintenanceStatus(ctx, c)
			}),
		},
		&cobra.Command{
			Use:   "pause",
			Short: "Start no further maintenance; VMs under maintenance finish",
			Args:  cobra.NoArgs,
			RunE: a.remote(func(ctx context.Context, c *client.Client, _ []string) error {
				if err := c.PauseMaintenance(ctx); err != nil {
					return err
				}
				return a.printDone("maintenance is paused")
			}),
		},
		&cobra.Command{
			Use:   "resume",
			Short: "End a pause of maintenance",
			Args:  cobra.NoArgs,
			RunE: a.remote(func(ctx context.Context, c *client.Client, _ []string) error {
				if err := c.ResumeMaintenance(ctx); err != nil {
					return err
				}
				return a.printDone("maintenance is resumed")
			}),
		},
	)
}

// maintenanceStatus prints the state of maintenance and the VMs under maintenance.
func (a *app) maintenanceStatus(ctx context.Context, c *client.Client) error {
	m, err := c.Maintenance(ctx)
	if err != nil {
		return err
	}
	state := "running"
	switch {
	case m.Paused:
		state = "paused by an operator"
	case m.Stopped:
		state = "stopped after failures"
	}
	var rows [][]any
	for _, vm := range m.VMs {
		rows = append(rows, []any{vm.VM, vm.Pool, vm.DataCentre, vm.State})
	}
	return a.print(m, func() {
		a.printLine("maintenance is %s; %d VMs done, %d due, %d failed", state, m.Done, m.Due, m.Failed)
		if m.Detail != "" {
			a.printLine("%s", m.Detail)
		}
		if len(rows) > 0 {
			a.printLine("")
			a.table("VM|POOL|DATA CENTRE|STATE", rows)
		}
	})
}
