// Package keyview decides whether a router may accept callers' API keys. A withdrawn key must not be accepted later than
// the revoke delay after the store acknowledged its withdrawal, even by a router that is partitioned from the store. So
// the configuration that contains the keys is used only while its age is proven: a store's answer to a call that started
// at t proves it as of t. The package is pure: the caller passes the time, the configuration and the store's answers.
package keyview

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
)

const (
	// margin is subtracted from the revoke delay. It covers the time between the last check and the arrival of the request
	// at the upstream, and the resolution of the clocks.
	margin = 200 * time.Millisecond
	// outageReserve is how long keys stay usable after the store is lost at the worst moment: right before it answers.
	outageReserve = 3 * time.Second
	// callReserve is the part of the period between two proofs for the duration of a call. It allows for a store that takes
	// about 100 ms, of which 28 ms are the round trip between regions and the store's usual time.
	callReserve = 100 * time.Millisecond
	// shortPoll is the long poll of calls that are made to prove the view. It is not 0, which a store could take for its
	// default.
	shortPoll = 10 * time.Millisecond
	// minInterval bounds the rate of the calls for revoke delays that are too short for outageReserve.
	minInterval = 500 * time.Millisecond
)

// MinRevokeDelay is the least revoke delay: below it even a store that answers at once leaves no time to use the view.
const MinRevokeDelay = time.Second

// View is the proven age of the configuration that a router uses. It is not safe for concurrent use.
type View struct {
	maxAge   time.Duration // 0 if keys do not expire
	provenAt boottime.Instant
	proven   bool
}

// New returns a view that is not proven yet. A revoke delay of 0 means that keys are usable without a proof.
func New(revokeDelay time.Duration) View {
	if revokeDelay <= 0 {
		return View{}
	}
	return View{maxAge: max(revokeDelay-margin, 1)}
}

// MustBeProven reports whether keys are usable only with a proof.
func (v *View) MustBeProven() bool { return v.maxAge > 0 }

// RecordProof records that the store answered a call that started at the instant. The configuration in the answer must
// have been applied before. An answer that arrives after the one to a later call has no effect.
func (v *View) RecordProof(startedAt boottime.Instant) {
	if !v.proven || startedAt > v.provenAt {
		v.provenAt, v.proven = startedAt, true
	}
}

// IsUsable reports whether keys may be used at the instant. Load: routers that are partitioned from the store, or that
// were suspended, while keys are withdrawn from connected clients.
func (v *View) IsUsable(now boottime.Instant) bool {
	return v.maxAge == 0 || v.proven && now.Sub(v.provenAt) < v.maxAge
}

// Age returns the proven age of the view; false if it was never proven.
func (v *View) Age(now boottime.Instant) (time.Duration, bool) {
	return now.Sub(v.provenAt), v.proven
}

// Pace returns the long poll of the watch that proves the view, and the least interval between the starts of two calls.
// If the store is lost right before it answers, the last proof is the start of the call before: interval + long poll old.
// That age and outageReserve must fit into the time for which the view is usable. Between two proofs at a given distance,
// short calls with a pause cost half as many calls as long polls one after the other, since the age of a proof counts
// from the start of its call. Load: 21 to 30 routers whose additional store calls are priced.
func Pace(revokeDelay, longPoll time.Duration) (time.Duration, time.Duration) {
	if revokeDelay <= 0 {
		return longPoll, 0
	}
	age := revokeDelay - margin - outageReserve - callReserve
	if age >= 2*longPoll {
		return longPoll, 0
	}
	return shortPoll, min(max(age-shortPoll, minInterval), longPoll)
}

// Refusal is why a request is not accepted because of its key.
type Refusal int

// Refusals.
const (
	// Accepted means that the request is not refused.
	Accepted Refusal = iota
	// NoKey means that the request carries no key.
	NoKey
	// UnknownKey means that no tenant has the key.
	UnknownKey
	// ViewTooOld means that it is not known whether the key is valid: it may have been added or withdrawn.
	ViewTooOld
)

var (
	refusalNames   = [...]string{"accepted", "no_key", "unknown_key", "view_too_old"}
	refusalReasons = [...]string{"", "no API key", "unknown API key", "the view of the API keys is too old"}
)

// String returns the name of the refusal in metrics.
func (r Refusal) String() string { return refusalNames[r] }

// Reason returns the reason that the caller is told.
func (r Refusal) Reason() string { return refusalReasons[r] }

// Check returns the tenant of a request with the key, which is empty if it has none. Public requests are always accepted;
// they have no tenant if their key is not known for certain. Load: callers with withdrawn, new and invalid keys, while
// the store is reachable and while it is not.
func Check(cfg *catalog.Config, key string, public, usable bool) (*catalog.Tenant, Refusal) {
	if !cfg.HasTenants() {
		return nil, Accepted
	}
	tenant, known := cfg.Tenant(key)
	switch {
	case usable && known:
		return tenant, Accepted
	case public:
		return nil, Accepted
	case !usable:
		return nil, ViewTooOld
	case key == "":
		return nil, NoKey
	}
	return nil, UnknownKey
}
