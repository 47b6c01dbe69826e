package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/inbound"
	"github.com/hibiscuscross/hibiscuscross/pkg/keyview"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

const (
	// keyWatchInterval is the time between two checks whether the view of the keys is still usable. It bounds how late
	// waiting requests are refused and the readiness changes; each send checks the view itself.
	keyWatchInterval = 100 * time.Millisecond
	// minViewRetryAfter and maxViewRetryAfter bound the random Retry-After of a router whose view of the keys is too old.
	// The caller's next connection may lead to another router at once, and all callers of this one are refused at a time.
	minViewRetryAfter = 100 * time.Millisecond
	maxViewRetryAfter = 500 * time.Millisecond
)

// SetRevokeDelay sets the time within which withdrawn keys stop working; 0 means that there is no strict limit. It must
// be called before the first request.
func (c *Core) SetRevokeDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys = keyview.New(d)
}

// RecordConfigProof records that the store has answered a call for the configuration that started at the instant. The
// configuration in the answer must have been applied.
func (c *Core) RecordConfigProof(startedAt boottime.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys.RecordProof(startedAt)
}

// hasRevokeDelay reports whether keys are used only while the age of the configuration is proven.
func (c *Core) hasRevokeDelay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keys.MustBeProven()
}

// HasTenants reports whether the active configuration has tenants.
func (c *Core) HasTenants() bool {
	cfg := c.config()
	return cfg != nil && cfg.HasTenants()
}

// keyState returns the active configuration, whether its keys may be used now, and the age of the view, which is
// negative if there is no proof of it.
func (c *Core) keyState() (cfg *catalog.Config, usable bool, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := boottime.Now()
	age, proven := c.keys.Age(now)
	if !proven {
		age = -1
	}
	return c.state.Config(), c.keys.IsUsable(now), age
}

// authorize checks the request's key against the active configuration, which may be newer than the one that the request
// was matched with. It returns the tenant, or why the request must not be sent.
func (c *callerRequest) authorize() (*catalog.Tenant, keyview.Refusal) {
	cfg, usable, age := c.g.core.keyState()
	if cfg == nil || !cfg.HasTenants() {
		return nil, keyview.Accepted
	}
	c.removeKey = true
	c.viewAge = age
	public := c.public
	if !public {
		route, ok := c.match(cfg)
		public = ok && route.Public
	}
	return keyview.Check(cfg, c.meta.Key, public, usable)
}

// admit checks the key of a request that has just arrived and sets its tenant. It returns false after a refusal.
func (c *callerRequest) admit(route *catalog.Route) bool {
	c.public = route != nil && route.Public
	var refusal keyview.Refusal
	if c.tenant, refusal = c.authorize(); refusal == keyview.Accepted {
		return true
	}
	// The rest of the body is read before the answer, and ended like other bodies when its connection is needed: requests
	// without a valid key could otherwise keep all connections for the time of a body.
	var err error
	c.holder, err = c.g.memory.Open(c.address(), 0)
	complete := err == nil && inbound.Discard(c.w, c.r, c.g.memory, c.holder, bodyTimeout)
	c.releaseMemory()
	if !complete {
		c.w.Header().Set("Connection", "close")
	}
	c.finishUnauthorized(refusal)
	if !complete {
		inbound.Linger(c.w, c.r)
	}
	return false
}

// readmit checks the key again after the request has waited or failed. It returns false after the request's end. A
// public request whose key is no longer valid continues without its tenant.
func (c *callerRequest) readmit() bool {
	tenant, refusal := c.authorize()
	if refusal != keyview.Accepted {
		c.finishUnauthorized(refusal)
		return false
	}
	if tenant == nil {
		c.tenant, c.req.Tenant, c.req.TenantPriority = nil, "", nil
	}
	return true
}

// authorizeSend checks the key right before the request is sent. The priority stays as it is until the end of the
// attempt, which is counted under it.
func (c *callerRequest) authorizeSend() bool {
	var tenant *catalog.Tenant
	if tenant, c.unauthorized = c.authorize(); tenant == nil && c.unauthorized == keyview.Accepted {
		c.tenant = nil
	}
	return c.unauthorized == keyview.Accepted
}

// setTenant sets the fields of the dispatched request that depend on the tenant.
func (c *callerRequest) setTenant() {
	if c.tenant != nil {
		c.req.Tenant, c.req.TenantPriority = c.tenant.Name, c.tenant.Priority
	}
}

// tenantName returns the name of the request's tenant, or "".
func (c *callerRequest) tenantName() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}

// finishUnauthorized ends a request that must not be sent because of its key. A request that may have run gets no status
// that denies it.
func (c *callerRequest) finishUnauthorized(refusal keyview.Refusal) {
	c.g.scope.Tagged(map[string]string{"cause": refusal.String()}).Counter("key_refusals_total").Inc(1)
	if refusal == keyview.ViewTooOld && !c.headWritten {
		c.w.Header().Set("Connection", "close")
	}
	switch {
	case c.headWritten:
		c.abort("stream cannot go on: " + refusal.Reason())
	case c.req != nil && c.req.PossibleRuns() > 0:
		c.refuse(http.StatusBadGateway, refusal.Reason(), 0)
	case refusal == keyview.ViewTooOld:
		after := minViewRetryAfter + rand.N(maxViewRetryAfter-minViewRetryAfter)
		if c.meta.Timeout > 0 {
			after = max(0, min(after, (c.meta.Timeout-time.Since(c.start))/3))
		}
		c.refuse(http.StatusServiceUnavailable, refusal.Reason(), after)
	default:
		platform.SetKeyRequired(c.w.Header())
		c.refuse(http.StatusUnauthorized, refusal.Reason(), 0)
	}
}

// tenantFields returns the log fields of the request's tenant and of the view that its key was checked with; none if the
// configuration has no tenants.
func (c *callerRequest) tenantFields() []any {
	if !c.removeKey {
		return nil
	}
	return []any{"tenant", c.tenantName(), "key_view_age_ms", max(-1, c.viewAge.Milliseconds())}
}

// KeyWatch reports whether the router's view of the keys is usable.
type KeyWatch struct {
	core  *Core
	log   *eventlog.Log
	scope tally.Scope
	// onUsable is called with false when keys become unusable, and with true when they are usable again.
	onUsable func(bool)
	unusable bool
}

// NewKeyWatch returns a watch that reports changes to onUsable. Keys count as usable at first.
func NewKeyWatch(core *Core, log *eventlog.Log, scope tally.Scope, onUsable func(bool)) *KeyWatch {
	return &KeyWatch{core: core, log: log, scope: scope, onUsable: onUsable}
}

// Run checks the view until ctx ends.
func (k *KeyWatch) Run(ctx context.Context) error {
	tick := time.NewTicker(keyWatchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			k.Check()
		}
	}
}

// Check reports a change since the last call.
func (k *KeyWatch) Check() {
	cfg, usable, age := k.core.keyState()
	if age >= 0 {
		k.scope.Gauge("key_view_age_seconds").Update(age.Seconds())
	}
	unusable := !usable && cfg != nil && cfg.HasTenants()
	if unusable == k.unusable {
		return
	}
	k.unusable = unusable
	k.onUsable(!unusable)
	k.log.State("use of API keys changed", "usable", !unusable, "key_view_age_ms", max(-1, age.Milliseconds()))
	k.core.wakeAll()
}
