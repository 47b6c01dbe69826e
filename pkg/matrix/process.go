package matrix

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
)

const (
	latency        = time.Millisecond
	vmPollInterval = vmlist.PollInterval
)

// process is the common part of routers and agents: a process that is running, paused or ended.
type process struct {
	w              *World
	name           string
	alive          bool
	reclaimed      bool // the VM is gone and the process is not restarted
	pausedUntil    time.Time
	generation     int
	revision       uint64 // of the object API, up to which the watch has delivered changes
	startedAt      time.Time
	checkedVersion uint64 // configuration version at the last check
}

func (p *process) markStarted() {
	p.alive = true
	p.generation++
	p.revision, p.startedAt, p.checkedVersion = 0, p.w.now, 0
	p.pausedUntil = time.Time{}
}

func (p *process) markEnded() {
	p.alive = false
	p.generation++
}

// deliver runs do in the process after d, or at the end of a pause. It does nothing if the process has ended by then,
// even if it was started again.
func (p *process) deliver(d time.Duration, do func()) {
	gen := p.generation
	var run func()
	run = func() {
		if p.generation != gen || !p.alive {
			return
		}
		if p.w.now.Before(p.pausedUntil) {
			p.w.after(p.pausedUntil.Sub(p.w.now), run)
			return
		}
		do()
	}
	p.w.after(d, run)
}

// every runs do at each interval until the process ends. After a pause it runs once for all missed intervals.
func (p *process) every(interval time.Duration, do func()) {
	var tick func()
	tick = func() {
		do()
		p.deliver(interval, tick)
	}
	p.deliver(p.w.between(0, interval), tick)
}

// watchStore calls update with the changes of the object API, the first time with all objects.
func (p *process) watchStore(update func([]store.Object, error)) {
	p.every(watchInterval, func() {
		s := p.w.store
		s.calls++
		if s.down() || s.slow() {
			update(nil, store.ErrUnavailable)
			return
		}
		objects := s.since(p.revision)
		p.revision = s.revision
		p.deliver(storeDelay, func() { update(objects, nil) })
	})
}
