package placement

// SetEvacuated sets the evacuated failure domains. No task is placed on their instances; what runs
// there goes on.
func (o *Owner) SetEvacuated(domains []string) {
	o.evacuated = map[string]bool{}
	for _, domain := range domains {
		o.evacuated[domain] = domain != ""
	}
}
