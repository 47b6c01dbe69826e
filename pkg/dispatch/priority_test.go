package dispatch

import (
	"testing"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
)

// TestPriority guards against a tenant whose priority has no effect, or one without a priority that loses its route's.
func TestPriority(t *testing.T) {
	zero, beyond, negative := 0, 99, -1
	for _, c := range []struct {
		tenant *int
		want   int
	}{{nil, 5}, {&zero, 0}, {&beyond, priorities - 1}, {&negative, 0}} {
		r := &Request{Route: &catalog.Route{Priority: 5}, TenantPriority: c.tenant}
		if got := r.priority(); got != c.want {
			t.Errorf("priority is %d, want %d", got, c.want)
		}
	}
}
