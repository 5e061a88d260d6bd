package rollout

// halt is the command that stops all new outages except emergencies.
type halt struct{ reason string }

func (c halt) apply(s *State, sender Sender) Result {
	if s.Halt == nil { // keep the first reason
		s.Halt = &HaltRecord{By: sender.Client, Reason: c.reason, Time: sender.Time}
	}
	return Result{Code: CodeOK}
}

// resume is the command that ends a halt.
type resume struct{}

func (resume) apply(s *State, sender Sender) Result {
	s.Halt = nil
	s.resumeRelease(sender.Time)
	return Result{Code: CodeOK}
}
