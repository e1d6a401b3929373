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
	version      uint64
	byHost       map[string][]Route
	maxBodyBytes int64
}

// NewRoutes returns the routing table of a configuration version. maxBodyBytes bounds request
// bodies, in bytes; 0 means no limit.
func NewRoutes(version uint64, routes []Route, maxBodyBytes int64) *Routes {
	r := &Routes{version: version, byHost: map[string][]Route{}, maxBodyBytes: maxBodyBytes}
	for _, route := range routes {
		r.byHost[route.Host] = append(r.byHost[route.Host], route)
	}
	return r
}

// Version returns the version of the configuration that the routes come from.
func (r *Routes) Version() uint64 { return r.version }

// MaxBodyBytes returns the maximum size of a request body, in bytes; 0 means no limit.
func (r *Routes) MaxBodyBytes() int64 { return r.maxBodyBytes }

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
type ActiveRoutes struct{ routes atomic.Pointer[Routes] }

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
	return true
}
