// Package envflag sets command-line flags from environment variables.
package envflag

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/pflag"
)

// Prefix is the prefix of the variables that Name, Apply and Describe use.
const Prefix = "AMARANTH_"

// Name returns the environment variable of a flag: AMARANTH_API_ADDRESS for
// api-address.
func Name(flag string) string { return name(Prefix, flag) }

func name(prefix, flag string) string {
	return prefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Apply sets each flag that was not given on the command line from its
// environment variable, if that exists. It returns the errors of all variables
// with invalid values, joined.
func Apply(flags *pflag.FlagSet) error { return ApplyPrefix(flags, Prefix) }

// ApplyPrefix is Apply for variables with another prefix.
func ApplyPrefix(flags *pflag.FlagSet, prefix string) error {
	var errs []error
	flags.VisitAll(func(f *pflag.Flag) {
		value, ok := os.LookupEnv(name(prefix, f.Name))
		if !ok || f.Changed {
			return
		}
		if err := flags.Set(f.Name, value); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", name(prefix, f.Name), err))
		}
	})
	return errors.Join(errs...)
}

// Describe adds the environment variable's name to each flag's help text.
func Describe(flags *pflag.FlagSet) {
	flags.VisitAll(func(f *pflag.Flag) {
		if f.Name != "help" {
			f.Usage += " [" + Name(f.Name) + "]"
		}
	})
}
