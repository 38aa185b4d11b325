package caller

import (
	"sync"

	"radishweir.org/lib/wire"
)

// directory finds tenants by the hash of their token. It keeps one index for
// each service, made anew when the service's configuration changes.
type directory struct {
	mu       sync.RWMutex
	services map[string]index
}

// index is the tenants of one configuration by token hash.
type index struct {
	of      *wire.ServiceConfiguration
	tenants map[string]*wire.Tenant
}

// find returns the tenant of a service whose token has the given hash, or nil.
func (d *directory) find(s *wire.ServiceConfiguration, hash string) *wire.Tenant {
	d.mu.RLock()
	i := d.services[s.GetService()]
	d.mu.RUnlock()
	if i.of != s {
		i = d.build(s)
	}
	return i.tenants[hash]
}

// build makes the index of a configuration.
func (d *directory) build(s *wire.ServiceConfiguration) index {
	i := index{s, make(map[string]*wire.Tenant, len(s.GetTenants()))}
	for _, t := range s.GetTenants() {
		i.tenants[t.GetTokenSha256()] = t
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.services == nil {
		d.services = make(map[string]index)
	}
	d.services[s.GetService()] = i
	return i
}
