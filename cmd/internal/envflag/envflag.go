// Package envflag lets environment variables stand in for flags.
package envflag

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/pflag"
)

// Prefix starts the name of every environment variable.
const Prefix = "AMARANTH_"

// Name returns the environment variable of a flag.
func Name(flag string) string { return name(Prefix, flag) }

func name(prefix, flag string) string {
	return prefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Apply sets each flag that was not given from its environment variable, and
// names the variable in the flag's help text. All faults are returned together.
func Apply(flags *pflag.FlagSet) error { return ApplyPrefix(flags, Prefix) }

// ApplyPrefix does the same with variables that start with another prefix.
func ApplyPrefix(flags *pflag.FlagSet, prefix string) error {
	var faults []error
	flags.VisitAll(func(f *pflag.Flag) {
		value, ok := os.LookupEnv(name(prefix, f.Name))
		if !ok || f.Changed {
			return
		}
		if err := flags.Set(f.Name, value); err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", name(prefix, f.Name), err))
		}
	})
	return errors.Join(faults...)
}

// Describe adds the environment variable's name to each flag's help text.
func Describe(flags *pflag.FlagSet) {
	flags.VisitAll(func(f *pflag.Flag) {
		if f.Name != "help" {
			f.Usage += " [" + Name(f.Name) + "]"
		}
	})
}
