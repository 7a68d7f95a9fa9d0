// Package crowd tests an entry against many clients that the operators don't control. The
// tests start the programs as processes on loopback addresses and check only what does not
// depend on the machine's speed. Run them apart from other load, one at a time.
package crowd
