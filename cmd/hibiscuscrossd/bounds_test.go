package main

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/inbound"
)

// TestBounds guards against bounds that ordinary callers of the deployments reach (a few hundred connections to a router),
// and against more descriptors than the process may open.
func TestBounds(t *testing.T) {
	g := NewWithT(t)
	for _, vm := range []struct{ memoryMB, fds int }{{144, 3075}, {184, 4100}, {536, 8192}, {536, 10_250}} {
		b := newBounds(vm.memoryMB, vm.fds)
		g.Expect(b.callerConns).To(BeNumerically(">=", 400), "%+v", vm)
		g.Expect(b.upstreamConns).To(BeNumerically(">=", b.callerConns), "%+v", vm)
		g.Expect(b.callerConns+b.upstreamConns+opsPorts*inbound.OpsConnections+ownFDs).To(BeNumerically("<=", vm.fds), "%+v", vm)
	}
	small := newBounds(64, 256)
	g.Expect(small.callerConns).To(BeNumerically(">", 50))
	g.Expect(newBounds(0, 0).callerConns).To(BeNumerically(">", 500))
}
