package catalog

// QuotaUnit is what a tenant's quota counts.
type QuotaUnit int

// Units of quotas.
const (
	// QuotaRequests counts each request as 1.
	QuotaRequests QuotaUnit = iota
	// QuotaTokens counts the tokens of a request's prompt and the maximum number of its generated tokens.
	QuotaTokens
)

// Tenant is a group of callers who share keys, a priority and a quota.
type Tenant struct {
	Name string
	// Keys are the API keys of the tenant's callers.
	Keys []string
	// Priority replaces the priority of a request's route; nil leaves it.
	Priority *int
	// Unit is what Rate and Burst count. Rate is per second, over all routers together; 0 means no limit.
	Unit        QuotaUnit
	Rate, Burst float64
	// PlainTokens is what a request without a number of tokens counts as, if Unit is QuotaTokens.
	PlainTokens float64
}

// Limited reports whether the tenant has a quota.
func (t *Tenant) Limited() bool { return t.Rate > 0 }

// SetTenants sets the configuration's tenants. It must be called before the configuration is used.
func (c *Config) SetTenants(tenants []Tenant) {
	c.tenants, c.tenantByKey = tenants, map[string]*Tenant{}
	for i := range tenants {
		for _, key := range tenants[i].Keys {
			c.tenantByKey[key] = &tenants[i]
		}
	}
}

// HasTenants reports whether requests need a key.
func (c *Config) HasTenants() bool { return len(c.tenants) > 0 }

// Tenants returns the tenants. They must not be changed.
func (c *Config) Tenants() []Tenant { return c.tenants }

// Tenant returns the tenant that holds the key.
func (c *Config) Tenant(key string) (*Tenant, bool) {
	t, ok := c.tenantByKey[key]
	return t, ok
}
