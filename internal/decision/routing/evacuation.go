package routing

// SetEvacuated sets the evacuated failure domains, whose instances get no new requests.
func (r *Router) SetEvacuated(domains []string) {
	r.evacuated = map[string]bool{}
	for _, domain := range domains {
		r.evacuated[domain] = domain != ""
	}
}

// InstanceRequests is the number of requests on one instance, as this entry knows it.
type InstanceRequests struct {
	Name     string
	Domain   string
	Requests int
}

// Requests returns the number of requests on each known instance, sorted by name.
func (r *Router) Requests() []InstanceRequests {
	list := make([]InstanceRequests, 0, len(r.names))
	for _, name := range r.names {
		inst := r.instances[name]
		list = append(list, InstanceRequests{name, inst.Domain, inst.outstanding + inst.otherRequests})
	}
	return list
}
