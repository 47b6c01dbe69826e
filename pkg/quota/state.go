package quota

import "time"

// State is what a holder writes with its lease about the grants to its tenants, so that the next holder does not grant
// the same again.
type State struct {
	// Released reports that the holder grants nothing after the write.
	Released bool                   `json:"released,omitempty"`
	Tenants  map[string]TenantState `json:"tenants,omitempty"`
	// Unlisted are the ages in ms of take-overs from holders that may have granted to tenants which no write has listed:
	// up to the share of one interval each.
	Unlisted []int64 `json:"unlisted,omitempty"`
}

// TenantState is what was granted to a tenant within the window before the write, and the most that is granted between
// this write and the next confirmed one.
type TenantState struct {
	Granted []Bin   `json:"granted,omitempty"`
	Cap     float64 `json:"cap"`
}

// aged returns the state as of a moment that is at least elapsed later, without what has left the window.
func (s State) aged(elapsed, window time.Duration) State {
	elapsed = max(0, elapsed)
	length := newWindow(window).length
	ms, longest := elapsed.Milliseconds(), length.Milliseconds()
	out := State{Released: s.Released, Tenants: map[string]TenantState{}}
	for name, t := range s.Tenants {
		kept := TenantState{Cap: t.Cap}
		for _, b := range t.Granted {
			if b.AgeMS+ms <= longest {
				kept.Granted = append(kept.Granted, Bin{AgeMS: b.AgeMS + ms, Amount: b.Amount})
			}
		}
		if elapsed <= length {
			out.Tenants[name] = kept
		}
	}
	for _, age := range s.Unlisted {
		if age+ms <= longest {
			out.Unlisted = append(out.Unlisted, age+ms)
		}
	}
	return out
}

// inherit returns the state with which a process takes over a lease whose state is at least elapsed old. Unless the
// previous holder has released the lease, it may have granted until now all that the state allows it.
func (s State) inherit(elapsed, window time.Duration) State {
	if window <= 0 {
		window = DefaultWindow
	}
	out := s.aged(elapsed, window)
	if s.Released {
		out.Released = false
		return out
	}
	for name, t := range s.Tenants {
		kept := out.Tenants[name]
		kept.Cap = t.Cap
		kept.Granted = append([]Bin{{Amount: t.Cap}}, kept.Granted...)
		out.Tenants[name] = kept
	}
	out.Unlisted = append([]int64{0}, out.Unlisted...)
	return out
}
