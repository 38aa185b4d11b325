package caller

import (
	"sync"

	"radishweir.org/lib/wire"
)

// directory finds tenants by the hash of their token. It keeps one index per
// service and rebuilds it when the service's configuration changes.
type directory struct {
	mu       sync.RWMutex
	services map[string]index
}

// index maps token hashes to the tenants of one configuration.
type index struct {
	config  *wire.ServiceConfiguration
	tenants map[string]*wire.Tenant
}

// find returns the tenant of a service whose token has the given hash, or nil.
func (d *directory) find(s *wire.ServiceConfiguration, hash string) *wire.Tenant {
	d.mu.RLock()
	i := d.services[s.GetService()]
	d.mu.RUnlock()
	if i.config != s {
		i = d.build(s)
	}
	return i.tenants[hash]
}

// build indexes a configuration and stores the index.
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
