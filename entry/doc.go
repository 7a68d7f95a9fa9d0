// Package entry is the entry process: it accepts jobs and direct requests of callers,
// takes part in the control plane of the fleet, and serves operators. It assembles
// these functions from the packages below control and policy.
package entry
