package sidecar

import (
	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/quota"
)

// count updates the metrics of the held tenants.
func (q *quotas) count() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := boottime.Now()
	if q.unauthorized > 0 {
		q.scope.Counter("quota_requests_without_lease_total").Inc(int64(q.unauthorized))
		q.unauthorized = 0
	}
	for _, l := range q.leases {
		h := l.Holder(now)
		if h == nil {
			continue
		}
		for _, u := range h.Usages(now) {
			s, last := q.scope.Tagged(map[string]string{"tenant": u.Tenant}), q.counted[u.Tenant]
			if u.Epoch != last.Epoch {
				last = quota.Usage{} // of an earlier epoch
			}
			s.Gauge("quota_limit").Update(u.Max)
			s.Gauge("quota_used").Update(u.Granted)
			s.Gauge("quota_left").Update(u.Max - u.Granted)
			s.Gauge("quota_waiting").Update(float64(u.Waiting))
			s.Counter("quota_grants_total").Inc(int64(u.Grants - last.Grants))
			s.Counter("quota_waits_total").Inc(int64(u.Waits - last.Waits))
			s.Counter("quota_refusals_total").Inc(int64(u.Refusals - last.Refusals))
			s.Counter("quota_returned_total").Inc(int64(u.Returned - last.Returned))
			q.counted[u.Tenant] = u
		}
	}
}
