package pool

// MayRun reports whether the scheduler takes a run for the newest one of its task, which may
// be on its VM.
func (p *Pool) MayRun(name string, run int) bool {
	t := p.findTask(name)
	return t != nil && t.active() && t.run == run
}
