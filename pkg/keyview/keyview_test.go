package keyview_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/keyview"
)

const start = boottime.Instant(time.Hour)

// TestIsUsable guards against keys that are used after their withdrawal had to be effective: without any proof, at the
// end of the time, counted from a later moment than the start of the call, or set back by a late answer.
func TestIsUsable(t *testing.T) {
	v := keyview.New(5 * time.Second)
	if v.IsUsable(start) {
		t.Error("usable without a proof")
	}
	v.RecordProof(start)
	v.RecordProof(start.Add(-time.Second)) // answered later, started earlier
	for _, c := range []struct {
		after  time.Duration
		usable bool
	}{{0, true}, {4799 * time.Millisecond, true}, {4800 * time.Millisecond, false}, {time.Hour, false}} {
		if got := v.IsUsable(start.Add(c.after)); got != c.usable {
			t.Errorf("%s after the call started: usable %t", c.after, got)
		}
	}
	v.RecordProof(start.Add(time.Minute))
	if !v.IsUsable(start.Add(time.Minute)) {
		t.Error("the next answer does not make the view usable again")
	}
	if off := keyview.New(0); !off.IsUsable(start) {
		t.Error("keys expire although the deployment sets no strict limit")
	}
}

// TestWithdrawnKeyNeverRuns guards against any order of a withdrawal, the store's calls and their answers in which a
// request that was sent later than the revoke delay after the acknowledgement is accepted.
func TestWithdrawnKeyNeverRuns(t *testing.T) {
	const revoke, step, resolution = 5 * time.Second, 100 * time.Millisecond, 10 * time.Millisecond
	longPoll, interval := keyview.Pace(revoke, 2700*time.Millisecond)
	with, without := config("k"), config("other")
	for acknowledged := time.Duration(0); acknowledged < 2*time.Second; acknowledged += step {
		for lostAfter := time.Duration(0); lostAfter < 6*time.Second; lostAfter += step {
			v, cfg := keyview.New(revoke), with
			for now, called := time.Duration(0), time.Duration(0); now < 15*time.Second; now += resolution {
				if now == called+longPoll && now < lostAfter { // the answer to the call in progress
					if called >= acknowledged {
						cfg = without
					}
					v.RecordProof(start.Add(called))
				}
				if now == called+interval {
					called = now
				}
				_, refusal := keyview.Check(cfg, "k", false, v.IsUsable(start.Add(now)))
				if refusal == keyview.Accepted && now > acknowledged+revoke {
					t.Fatalf("acknowledged at %s, store lost at %s: accepted at %s", acknowledged, lostAfter, now)
				}
			}
		}
	}
}

// TestPace guards against a view that expires within 3 s of the loss of the store or by a single lost answer, and against
// more store calls where the deployment does not require them.
func TestPace(t *testing.T) {
	const revoke, usual, roundTrip, margin, callTimeout = 5 * time.Second, 2700 * time.Millisecond, 28 * time.Millisecond, 200 * time.Millisecond, 700 * time.Millisecond
	longPoll, interval := keyview.Pace(revoke, usual)
	if ageAtLoss := interval + longPoll + roundTrip; revoke-margin-ageAtLoss < 3*time.Second {
		t.Errorf("view is usable for %s after the loss", revoke-margin-ageAtLoss)
	}
	if ageAfterLostAnswer := interval + longPoll + callTimeout + longPoll + roundTrip; ageAfterLostAnswer >= revoke-margin {
		t.Errorf("one lost answer makes the view %s old", ageAfterLostAnswer)
	}
	for _, delay := range []time.Duration{0, time.Minute} {
		if p, i := keyview.Pace(delay, usual); p != usual || i != 0 {
			t.Errorf("revoke delay %s: long poll %s and interval %s", delay, p, i)
		}
	}
	if _, i := keyview.Pace(keyview.MinRevokeDelay, usual); i < 500*time.Millisecond {
		t.Errorf("interval of %s for the least revoke delay", i)
	}
}

// TestCheck guards against 401 for a key that may be new, against public routes that need a key, and against a tenant's
// rights on a view that is too old.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		key            string
		public, usable bool
		tenant         string
		refusal        keyview.Refusal
	}{
		{"k", false, true, "a", keyview.Accepted},
		{"k", true, true, "a", keyview.Accepted},
		{"k", false, false, "", keyview.ViewTooOld},
		{"k", true, false, "", keyview.Accepted},
		{"x", false, true, "", keyview.UnknownKey},
		{"x", true, true, "", keyview.Accepted},
		{"x", false, false, "", keyview.ViewTooOld},
		{"", false, true, "", keyview.NoKey},
		{"", true, true, "", keyview.Accepted},
		{"", false, false, "", keyview.ViewTooOld},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			tenant, refusal := keyview.Check(config("k"), c.key, c.public, c.usable)
			name := ""
			if tenant != nil {
				name = tenant.Name
			}
			if name != c.tenant || refusal != c.refusal {
				t.Errorf("got %q and %s", name, refusal)
			}
		})
	}
	if tenant, refusal := keyview.Check(catalog.NewConfig(1, nil, nil, catalog.Limits{}), "", false, false); tenant != nil || refusal != keyview.Accepted {
		t.Error("a configuration without tenants needs a key")
	}
}

func config(key string) *catalog.Config {
	c := catalog.NewConfig(1, nil, nil, catalog.Limits{})
	c.SetTenants([]catalog.Tenant{{Name: "a", Keys: []string{key}}})
	return c
}
