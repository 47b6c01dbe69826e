package quota

import (
	"math"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
)

// slotTime is the resolution of the granted amounts. An amount counts until the whole slot has left the window.
const slotTime = 50 * time.Millisecond

// slot is the amount granted from its start for slotTime.
type slot struct {
	start  boottime.Instant
	amount float64
}

// window records what was granted to a tenant, and when. It counts over a length that includes the validity of grants:
// what runs within the limit's window was granted at most Validity before it.
type window struct {
	length time.Duration
	slots  []slot // by start
	sum    float64
}

func newWindow(limit time.Duration) window { return window{length: limit + Validity + slotTime} }

// add records an amount granted now.
func (w *window) add(now boottime.Instant, amount float64) {
	w.sum += amount
	if n := len(w.slots); n > 0 && now.Sub(w.slots[n-1].start) < slotTime {
		w.slots[n-1].amount += amount
		return
	}
	w.slots = append(w.slots, slot{start: now, amount: amount})
}

// remove takes back an amount that was granted at the time and was not used. It must be taken from the slot in which it
// was recorded: otherwise its share of the sum would leave the window before the amounts that did run.
func (w *window) remove(at boottime.Instant, amount float64) float64 {
	for i := len(w.slots) - 1; i >= 0; i-- {
		if at < w.slots[i].start {
			continue
		}
		taken := min(amount, w.slots[i].amount)
		w.slots[i].amount -= taken
		w.sum -= taken
		return taken
	}
	return 0
}

// advance drops what has left the window.
func (w *window) advance(now boottime.Instant) {
	n := 0
	for n < len(w.slots) && now.Sub(w.slots[n].start) >= w.length {
		w.sum -= w.slots[n].amount
		n++
	}
	w.slots = w.slots[n:]
	if len(w.slots) == 0 {
		w.sum = 0 // without the rounding errors of the sums
	}
}

// timeUntil returns the time after which at most sum is left in the window if nothing is added.
func (w *window) timeUntil(now boottime.Instant, sum float64) time.Duration {
	left := w.sum
	for _, s := range w.slots {
		if left <= sum {
			return 0
		}
		left -= s.amount
		if left <= sum {
			return max(0, s.start.Add(w.length).Sub(now))
		}
	}
	return w.length
}

// Bin is an amount granted up to AgeMS before the time of a snapshot.
type Bin struct {
	AgeMS  int64   `json:"ageMs"`
	Amount float64 `json:"amount"`
}

// binTime is the resolution of snapshots. A bin counts as granted at its latest moment.
const binTime = time.Second

// bins returns the recorded amounts, the latest first. They are rounded up, and their ages down.
func (w *window) bins(now boottime.Instant) []Bin {
	var out []Bin
	for _, s := range slices.Backward(w.slots) {
		if s.amount <= 0 {
			continue
		}
		age := max(0, now.Sub(s.start)).Truncate(binTime).Milliseconds()
		if n := len(out); n > 0 && out[n-1].AgeMS == age {
			out[n-1].Amount += math.Ceil(s.amount)
			continue
		}
		out = append(out, Bin{AgeMS: age, Amount: math.Ceil(s.amount)})
	}
	return out
}

// restore records the amounts of a snapshot that was taken at the time.
func (w *window) restore(at boottime.Instant, bins []Bin) {
	for _, b := range slices.Backward(bins) {
		w.slots = append(w.slots, slot{start: at.Add(-time.Duration(b.AgeMS) * time.Millisecond), amount: b.Amount})
		w.sum += b.Amount
	}
}
