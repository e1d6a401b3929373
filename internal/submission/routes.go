package submission

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
)

// Route leads requests of a host below a path to a queue.
type Route struct {
	Host    string
	Prefix  string
	Queue   string
	Policy  dispatch.Policy
	Timeout time.Duration // of one request
}

// Routes is one version of the routes. It is never changed.
type Routes struct {
	version  uint64
	byHost   map[string][]Route
	bodyMost int64
}

// NewRoutes makes a version of the routes. bodyMost bounds request bodies, in bytes.
func NewRoutes(version uint64, routes []Route, bodyMost int64) *Routes {
	r := &Routes{version: version, byHost: map[string][]Route{}, bodyMost: bodyMost}
	for _, route := range routes {
		r.byHost[route.Host] = append(r.byHost[route.Host], route)
	}
	return r
}

// Version of the configuration that the routes come from.
func (r *Routes) Version() uint64 { return r.version }

// MaxBodyBytes bounds request bodies, in bytes.
func (r *Routes) MaxBodyBytes() int64 { return r.bodyMost }

// Find returns the route with the longest prefix of a path, and what follows it.
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

// ActiveRoutes holds the newest version of the routes.
type ActiveRoutes struct{ routes atomic.Pointer[Routes] }

// Get returns the routes in force, nil before the first.
func (f *ActiveRoutes) Get() *Routes { return f.routes.Load() }

// Adopt puts routes in force unless they are older than those that are. It is called
// by one goroutine.
func (f *ActiveRoutes) Adopt(routes *Routes) bool {
	now := f.routes.Load()
	if now != nil && routes.version <= now.version {
		return false
	}
	f.routes.Store(routes)
	return true
}
