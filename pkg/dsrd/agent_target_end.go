package dsrd

// recordEndCheck counts a check and logs the first one that finds the process running. a.mu is held.
func (a *Agent) recordEndCheck() {
	running := a.table.AwaitsTargetEnd()
	result := "ended"
	if running {
		result = "running"
	}
	a.scope.Tagged(map[string]string{"result": result}).Counter("dsr_target_end_checks").Inc(1)
	current := a.table.TargetIncarnation()
	if !running || a.runsOn == current.ID {
		return
	}
	a.runsOn = current.ID
	a.log.Warn().Str("op", "target-left").Str("target", current.ID).Int("flows", a.table.Flows()).
		Msg("the target has deregistered and runs on; it keeps its flows")
}
