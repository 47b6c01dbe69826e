// Package quota limits what runs of a tenant over all routers together. The tenants are divided into shards. For each
// shard one process, the holder, has a lease in the platform's store and grants tokens to the routers in datagrams. The
// package consists of pure state machines: Lease for the right to grant, Holder for what is granted, and Balance for
// a router's tokens and waiting requests. The caller passes the time and sends the messages.
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Shards is the number of quota holders. The end of one of them concerns the tenants of its shard only.
	Shards = 4
	// Validity is how long a router may use granted tokens, counted from the moment at which it sent the request for
	// them. It covers the round trip to another region, two repeats of a lost datagram and a short wait for an engine.
	Validity = 500 * time.Millisecond
	// DefaultWindow is the window in which a tenant's requests are counted if the settings name none.
	DefaultWindow = 8 * time.Second
	// capShare is the share of a limit that a holder may grant between two confirmed writes of its lease. A holder that
	// takes over assumes that all of it has been granted since the last write. A renewal about every second needs a ninth
	// of the limit if the burst is as large as the rate. The rest is for bursts, which otherwise need early renewals.
	capShare = 0.25
	// demandTime is the time over which the demand of a tenant is averaged, and minDemand the least demand per second of
	// a priority that counts.
	demandTime = 8 * time.Second
	minDemand  = 1e-3
	// reserveTime is how much of the tokens to come a more urgent request may use.
	reserveTime = 500 * time.Millisecond
	// maxLevelWait is how long any request may wait for the level. If those with a later target waited longer, they would
	// be served before more urgent ones, which have earlier targets.
	maxLevelWait = 100 * time.Millisecond
	// largestAtOnce is the number of the largest requests that a tenant may send at once, and maxBucketShare the largest
	// share of a window's limit.
	largestAtOnce  = 10
	maxBucketShare = 0.75
	// initialShare is the share of a window's limit that a tenant may use at once when it has sent nothing before.
	initialShare = 0.35
	// pendingTimeout is the time after which a waiting request that its router no longer names loses its place.
	pendingTimeout = 600 * time.Millisecond
	// maxBacklogTime bounds the times to come back that refused requests are given one after the other.
	maxBacklogTime = 4 * time.Second
	// priorities is the number of priorities; 0 is the most urgent.
	priorities = 10
)

// ShardOf returns the shard of a tenant.
func ShardOf(tenant string) int { return int(xxhash.Sum64String(tenant) % Shards) }

// Limit is the limit of one tenant: in any window, at most rate times window plus burst.
type Limit struct {
	Rate, Burst float64
	Window      time.Duration
}

// Max returns what may run in one window.
func (l Limit) Max() float64 { return l.Rate*l.Window.Seconds() + l.Burst }

// Request is the message from a router to a holder. A router numbers its requests; a repeated request has the number and
// the content of the first one and gets the same grant.
type Request struct {
	Router string `cbor:"1,keyasint"`
	// Process identifies the router's process. Numbers start again with each process.
	Process uint64          `cbor:"2,keyasint"`
	Shard   int             `cbor:"3,keyasint"`
	Number  uint64          `cbor:"4,keyasint"`
	Tenants []TenantRequest `cbor:"5,keyasint,omitempty"`
}

// TenantRequest is what a router needs for one tenant.
type TenantRequest struct {
	Tenant string `cbor:"1,keyasint"`
	// Rate and Burst are the limit according to the version Config of the configuration.
	Rate   float64 `cbor:"2,keyasint"`
	Burst  float64 `cbor:"3,keyasint"`
	Config uint64  `cbor:"8,keyasint"`
	Needs  []Need  `cbor:"4,keyasint,omitempty"`
	// Ahead is the amount for small requests that the router expects within the validity of the grant.
	Ahead float64 `cbor:"5,keyasint,omitempty"`
	// Cancelled lists needs that no longer wait.
	Cancelled []uint64 `cbor:"6,keyasint,omitempty"`
	// Returned lists granted amounts that the router has not used and will not use.
	Returned []Return `cbor:"7,keyasint,omitempty"`
}

// Need is the amount that one waiting request needs. It is granted completely or not at all.
type Need struct {
	ID       uint64  `cbor:"1,keyasint"`
	Amount   float64 `cbor:"2,keyasint"`
	Priority int     `cbor:"3,keyasint,omitempty"`
	// MaxWaitMS is how long the request can wait for the amount, in ms.
	MaxWaitMS int64 `cbor:"4,keyasint,omitempty"`
}

// Return is an unused part of the grant that answered the request with the number.
type Return struct {
	Number uint64  `cbor:"1,keyasint"`
	Amount float64 `cbor:"2,keyasint"`
}

// Grant is a holder's answer to a request.
type Grant struct {
	Process uint64        `cbor:"1,keyasint"`
	Shard   int           `cbor:"2,keyasint"`
	Epoch   uint64        `cbor:"3,keyasint"`
	Number  uint64        `cbor:"4,keyasint"`
	Tenants []TenantGrant `cbor:"5,keyasint,omitempty"`
}

// TenantGrant answers a TenantRequest.
type TenantGrant struct {
	Tenant string   `cbor:"1,keyasint"`
	Needs  []Answer `cbor:"2,keyasint,omitempty"`
	// Ahead is the amount granted for small requests.
	Ahead float64 `cbor:"3,keyasint,omitempty"`
}

// Answer answers a need: granted, expected to be granted after WaitMS, or refused. A refused request may come back after
// RetryMS.
type Answer struct {
	ID      uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint,omitempty"`
	WaitMS  int64  `cbor:"3,keyasint,omitempty"`
	RetryMS int64  `cbor:"4,keyasint,omitempty"`
}

// Announcement names the holder of a shard in its reports to the routers. Epoch is the revision of the write with which
// it acquired the lease.
type Announcement struct {
	Shard       int    `cbor:"1,keyasint"`
	Epoch       uint64 `cbor:"2,keyasint"`
	RemainingMS int64  `cbor:"3,keyasint"`
}

// Rank returns the number of names that rank before own for the shard. The candidates for a shard's lease are those that
// rank first; each process computes the same order.
func Rank(shard int, own string, names []string) int {
	n, weight := 0, rank(shard, own)
	for _, name := range names {
		if r := rank(shard, name); name != own && (r > weight || r == weight && name < own) {
			n++
		}
	}
	return n
}

func rank(shard int, name string) uint64 {
	return xxhash.Sum64String(string(rune('0'+shard)) + "\x00" + name)
}
