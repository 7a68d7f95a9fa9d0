package main

// cases are the cases by number. Each returns how the rule was broken, or nothing.
var cases = map[string]func(*stage) string{
	"6":       routeOpened,
	"7":       quotaChange,
	"8":       gangOnSickWorker,
	"9":       gangAfterRackCrash,
	"10":      hotTenant,
	"explore": explore,
}
