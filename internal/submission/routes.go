package submission

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
)

// Route maps the requests of a host whose path has a prefix to a queue.
type Route struct {
	Host    string
	Prefix  string
	Queue   string
	Policy  dispatch.Policy
	Timeout time.Duration // from the configuration; not enforced
}

// Routes is one version of the routing table. It is immutable and safe for concurrent use.
type Routes struct {
	version uint64
	byHost  map[string][]Route
	limits  Limits
}

// Limits are the limits of a configuration for requests. A value of 0 means that it sets none.
type Limits struct {
	BodyBytes                  int64
	HeaderBytes                int
	HeaderTimeout, IdleTimeout time.Duration // to send a head; between two requests
}

// NewRoutes returns the routing table of a configuration version.
func NewRoutes(version uint64, routes []Route, limits Limits) *Routes {
	r := &Routes{version: version, byHost: map[string][]Route{}, limits: limits}
	for _, route := range routes {
		r.byHost[route.Host] = append(r.byHost[route.Host], route)
	}
	return r
}

// Version returns the version of the configuration that the routes come from.
func (r *Routes) Version() uint64 { return r.version }

// Limits returns the limits of requests.
func (r *Routes) Limits() Limits { return r.limits }

// Find returns the route of a host with the longest prefix of path, and the rest of the path
// after that prefix. ok is false if no route matches.
//
//	in:  host nony24.example, path /lohu930/5c0e7a21d94b36f8
//	out: route of /lohu930/, rest 5c0e7a21d94b36f8
func (r *Routes) Find(host, path string) (found Route, rest string, ok bool) {
	for _, route := range r.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) && (!ok || len(route.Prefix) > len(found.Prefix)) {
			found, ok = route, true
		}
	}
	return found, strings.TrimPrefix(path, found.Prefix), ok
}

// ActiveRoutes holds the active version of the routes. Get is safe for concurrent use.
type ActiveRoutes struct {
	routes  atomic.Pointer[Routes]
	applied func(*Routes)
}

// NewActiveRoutes returns no routes. The first Apply makes some active; each calls applied.
func NewActiveRoutes(applied func(*Routes)) *ActiveRoutes { return &ActiveRoutes{applied: applied} }

// Get returns the active routes, or nil before the first Apply.
func (a *ActiveRoutes) Get() *Routes { return a.routes.Load() }

// Apply makes routes the active ones if their version is higher than the active version, and
// reports whether it did. Only one goroutine may call it.
func (a *ActiveRoutes) Apply(routes *Routes) bool {
	current := a.routes.Load()
	if current != nil && routes.version <= current.version {
		return false
	}
	a.routes.Store(routes)
	if a.applied != nil {
		a.applied(routes)
	}
	return true
}
