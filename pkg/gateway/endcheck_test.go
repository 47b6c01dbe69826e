package gateway

import (
	"errors"
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// Guards against an end of a connection that is taken for the end of a stream, and against breaking off complete ones.
func TestEndCheck(t *testing.T) {
	const ms = time.Millisecond
	same := platform.InstanceReply{Instance: catalog.Instance{ID: "u1"}}
	removal := func(left time.Duration) platform.InstanceReply {
		return platform.InstanceReply{Removal: left, HasRemoval: true}
	}
	runs := func(id string, events int) platform.InstanceReply {
		return platform.InstanceReply{Events: map[string]int{id: events}}
	}
	refused := errors.Join(io.EOF, syscall.ECONNREFUSED)
	for name, c := range map[string]struct {
		streamed  bool
		left      time.Duration
		ending    bool
		sent, now time.Duration
		reply     platform.InstanceReply
		err       error
		want      endVerdict
		next      time.Duration
	}{
		"replies at once":                     {true, time.Second, false, 0, 1 * ms, same, nil, endOpen, 250 * ms},
		"replies just before the proof":       {true, time.Second, false, 249 * ms, 251 * ms, same, nil, endOpen, 251 * ms},
		"replies late to an early query":      {true, time.Second, false, 100 * ms, 600 * ms, same, nil, endOpen, 600 * ms},
		"replies after the proof":             {true, time.Second, false, 250 * ms, 251 * ms, same, nil, endComplete, 0},
		"refuses at once":                     {true, time.Second, false, 0, 1 * ms, platform.InstanceReply{}, refused, endBrokenOff, 0},
		"refuses after the proof":             {true, time.Second, false, 250 * ms, 251 * ms, platform.InstanceReply{}, refused, endBrokenOff, 0},
		"is another instance":                 {true, time.Second, false, 250 * ms, 251 * ms, same, platform.ErrOtherInstance, endBrokenOff, 0},
		"resets the connection":               {true, 5 * time.Second, false, 0, 1 * ms, same, syscall.ECONNRESET, endOpen, 101 * ms},
		"resets it until the limit":           {true, 5 * time.Second, false, 1100 * ms, 1101 * ms, same, syscall.ECONNRESET, endBrokenOff, 0},
		"resets it near the deadline":         {true, 30 * ms, false, 260 * ms, 261 * ms, same, syscall.ECONNRESET, endBrokenOff, 0},
		"is removed soon":                     {true, time.Second, false, 0, 1 * ms, removal(499 * ms), nil, endBrokenOff, 0},
		"is removed soon, no stream":          {false, time.Second, false, 0, 1 * ms, removal(499 * ms), nil, endBrokenOff, 0},
		"is removed later":                    {true, time.Second, false, 250 * ms, 251 * ms, removal(500 * ms), nil, endComplete, 0},
		"has generated more events":           {true, time.Second, false, 0, 1 * ms, runs("r", 4), nil, endBrokenOff, 0},
		"has generated those that came":       {true, time.Second, false, 250 * ms, 251 * ms, runs("r", 3), nil, endComplete, 0},
		"has generated more for another":      {true, time.Second, false, 250 * ms, 251 * ms, runs("x", 9), nil, endComplete, 0},
		"replies at once, no stream":          {false, time.Second, false, 0, 1 * ms, same, nil, endOpen, 250 * ms},
		"replies after the proof, no stream":  {false, time.Second, false, 250 * ms, 251 * ms, same, nil, endComplete, 0},
		"replies 119 ms after it, no stream":  {false, time.Second, false, 119 * ms, 121 * ms, same, nil, endOpen, 250 * ms},
		"replies 120 ms after it, no stream":  {false, time.Second, false, 120 * ms, 121 * ms, same, nil, endOpen, 250 * ms},
		"may be ending":                       {false, time.Second, true, 120 * ms, 121 * ms, same, nil, endOpen, 250 * ms},
		"may be ending, after the proof":      {false, time.Second, true, 250 * ms, 251 * ms, same, nil, endComplete, 0},
		"says that it is leaving":             {false, time.Second, false, 120 * ms, 121 * ms, platform.InstanceReply{Leaving: true}, nil, endOpen, 250 * ms},
		"is removed later, no stream":         {false, time.Second, false, 120 * ms, 121 * ms, removal(time.Second), nil, endOpen, 250 * ms},
		"replies 199 ms after it, no stream":  {false, time.Second, false, 199 * ms, 201 * ms, same, nil, endOpen, 250 * ms},
		"replies 200 ms after it, no stream":  {false, time.Second, false, 200 * ms, 201 * ms, same, nil, endOpen, 250 * ms},
		"replies before the proof, no stream": {false, time.Second, false, 249 * ms, 251 * ms, same, nil, endOpen, 251 * ms},
		"replies 120 ms after it":             {true, time.Second, false, 120 * ms, 121 * ms, same, nil, endOpen, 250 * ms},
		"replies before the deadline":         {true, 200 * ms, false, 149 * ms, 151 * ms, same, nil, endOpen, 151 * ms},
		"replies in time for the deadline":    {true, 200 * ms, false, 150 * ms, 151 * ms, same, nil, endComplete, 0},
		"replies with hardly any time left":   {true, 30 * ms, false, 0, 1 * ms, same, nil, endComplete, 0},
		"may be ending near the deadline":     {true, 200 * ms, true, 150 * ms, 151 * ms, same, nil, endOpen, 250 * ms},
		"is leaving near the deadline":        {true, 200 * ms, false, 150 * ms, 151 * ms, platform.InstanceReply{Leaving: true}, nil, endOpen, 250 * ms},
		"is removed near the deadline":        {true, 200 * ms, false, 150 * ms, 151 * ms, removal(499 * ms), nil, endBrokenOff, 0},
		"has time, near the deadline":         {true, 300 * ms, false, 249 * ms, 251 * ms, same, nil, endOpen, 251 * ms},
		"is no stream near the deadline":      {false, 100 * ms, false, 50 * ms, 51 * ms, same, nil, endComplete, 0},
		"resets it, no stream":                {false, time.Second, false, 0, 1 * ms, same, syscall.ECONNRESET, endOpen, 101 * ms},
		"resets it until the limit of this":   {false, time.Second, false, 750 * ms, 751 * ms, same, syscall.ECONNRESET, endBrokenOff, 0},
	} {
		t.Run(name, func(t *testing.T) {
			check := newEndCheck(c.streamed, c.left)
			if c.streamed {
				check.id, check.events = "r", 3
			}
			if got, next := check.judge(c.sent, c.now, c.reply, endSigns{ending: c.ending}, c.err); got != c.want || next != c.next {
				t.Errorf("verdict %v, next query after %v; want %v, %v", got, next, c.want, c.next)
			}
		})
	}
}

// Guards against breaking off complete answers because the router itself stood still during the check.
func TestEndCheckOfRouterThatStandsStill(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		streamed       bool
		left           time.Duration
		took, expected time.Duration
		want           time.Duration // limit after a step that ends 2 s after the end
	}{
		"runs":                                   {true, 20 * time.Second, 850 * ms, 600 * ms, 1200 * ms},
		"stands still in a query":                {true, 20 * time.Second, 1300 * ms, 600 * ms, 3200 * ms},
		"stands still in a wait":                 {true, 20 * time.Second, 401 * ms, 100 * ms, 3200 * ms},
		"stands still, and little time is left":  {true, 2500 * ms, 1300 * ms, 600 * ms, 2700 * ms},
		"stands still until after the deadline":  {true, 500 * ms, 1300 * ms, 600 * ms, 2350 * ms},
		"stands still, and it is not a stream":   {false, 20 * time.Second, 1300 * ms, 600 * ms, 2850 * ms},
		"runs, and it is not a stream":           {false, 20 * time.Second, 600 * ms, 600 * ms, 850 * ms},
		"waits for nothing, and runs on at once": {true, 20 * time.Second, 0, -50 * ms, 1200 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			check := newEndCheck(c.streamed, c.left).recordStep(2*time.Second, c.took, c.expected)
			if check.limit != c.want {
				t.Errorf("limit %v, want %v", check.limit, c.want)
			}
		})
	}
	t.Run("asks again after a query that failed meanwhile", func(t *testing.T) {
		check := newEndCheck(true, 20*time.Second).recordStep(1550*ms, 1300*ms, 600*ms)
		if got, next := check.judge(250*ms, 1550*ms, platform.InstanceReply{}, endSigns{}, syscall.ETIMEDOUT); got != endOpen || next != 1650*ms {
			t.Errorf("verdict %v, next query after %v", got, next)
		}
	})
	t.Run("does not go on for ever", func(t *testing.T) {
		check := newEndCheck(true, 20*time.Second)
		now := time.Duration(0)
		for range 10 {
			now += 2 * time.Second
			check = check.recordStep(now, 2*time.Second, 600*ms)
		}
		if check.limit > 8*time.Second {
			t.Errorf("limit %v", check.limit)
		}
	})
}
