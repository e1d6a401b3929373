package dispatch

// SetEvacuated sets the evacuated failure domains. Nothing new starts on their instances. What runs
// there goes on. An instance without a domain is never evacuated.
func (s *Scheduler) SetEvacuated(domains []string) {
	s.evacuated = map[string]bool{}
	for _, domain := range domains {
		s.evacuated[domain] = domain != ""
	}
	for _, in := range s.byID {
		s.updateEvacuated(in)
	}
}

// updateEvacuated sets whether the domain of an instance is evacuated.
func (s *Scheduler) updateEvacuated(in *instance) {
	in.evacuated = s.evacuated[in.registration.Domain]
}

// InDomain returns the number of instances in a failure domain.
func (s *Scheduler) InDomain(domain string) int {
	count := 0
	for _, in := range s.byID {
		if in.registration.Domain == domain {
			count++
		}
	}
	return count
}
