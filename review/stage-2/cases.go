package main

// cases are the cases by number. Each returns how the rule was broken, or nothing.
var cases = map[string]func(*stage) string{
	"6":  quotaChange,
	"7":  gangOnSickWorker,
	"8":  reservedWorkers,
	"9":  hotTenant,
	"10": gangAfterRackCrash,
}
