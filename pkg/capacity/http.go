package capacity

import (
	"context"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/store/httpstore"
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// watchCalls is the number of watch calls that are measured.
const watchCalls = 50

// watchCost returns the bytes on the connection and the CPU time, in microseconds and of client and server together, of
// one watch call without a change, and the bytes of each heartbeat. It uses the real client over loopback.
func watchCost() (callBytes, heartbeatBytes, cpu float64) {
	var bytes atomic.Int64
	s := standin.NewMemStore(0)
	server := httptest.NewUnstartedServer((&standin.StoreServer{Store: s}).Handler())
	server.Listener = countingListener{server.Listener, &bytes}
	server.Start()
	defer server.Close()
	k := kernel.New()
	defer k.Cleanup()
	client := must(kernel.LoadAs[store.Store](context.Background(), k, httpstore.ID, kernel.Settings{"url": server.URL}))
	ctx := context.Background()
	revision := must(s.Put(ctx, "upstreams/vm", []byte("{}"), store.MustNotExist))
	watch := func(wait time.Duration) {
		if _, _, err := client.Watch(ctx, revision, wait); err != nil {
			panic(err)
		}
	}
	watch(time.Millisecond)
	bytes.Store(0)
	start := cpuTime()
	for range watchCalls {
		watch(time.Millisecond)
	}
	callBytes, cpu = float64(bytes.Load())/watchCalls, float64((cpuTime()-start).Microseconds())/watchCalls
	bytes.Store(0)
	wait := 2*httpstore.WatchHeartbeatInterval + httpstore.WatchHeartbeatInterval/2
	watch(wait)
	return callBytes, (float64(bytes.Load()) - callBytes) / 2, cpu
}
