package sidecar

import (
	"net/netip"
	"strconv"
	"testing"

	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
)

// TestRecordedRoutersAreBounded guards against datagrams with made-up names that fill the memory of a sidecar: a million
// names left 266 MB.
func TestRecordedRoutersAreBounded(t *testing.T) {
	q := &quotas{routers: map[string]quotaRouter{}}
	from := netip.MustParseAddrPort("127.0.0.1:9")
	for i := range 2 * maxRouters {
		q.recordRouter(from, &peer.Demand{Router: strconv.Itoa(i)})
	}
	if len(q.routers) > maxRouters {
		t.Fatalf("%d routers are recorded, at most %d may be", len(q.routers), maxRouters)
	}
}
