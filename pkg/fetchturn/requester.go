package fetchturn

import (
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

const (
	// answerTimeout is how long a sidecar waits for an answer before it asks the next rank, or decides alone.
	answerTimeout = 400 * time.Millisecond
	// unansweredInterval is the time between two requests while the first has no answer. Four fit into answerTimeout: with
	// two, sidecars decided alone on a link that loses a fifth of the datagrams. requestInterval is the time between two requests otherwise, and between two announcements.
	unansweredInterval = 95 * time.Millisecond
	requestInterval    = 500 * time.Millisecond
	// forgetUnanswered is the time without wants after which unanswered requests are forgotten.
	forgetUnanswered = 3 * time.Second
	// maxPause is the time between two calls after which the sidecar has been suspended: messages may still lie unread in
	// its socket.
	maxPause = time.Second
	// rememberedRequests bounds the requests whose answers are accepted.
	rememberedRequests = 32
)

// Requester asks the coordinators for turns. It counts the validity of turns on a clock that also runs while the VM is
// suspended.
type Requester struct {
	seq        uint64
	ranks      [2]rankState
	sent       []sentRequest
	turn       turnHeld
	offer      string
	offerUntil boottime.Instant
	wantedAt   boottime.Instant
	calledAt   boottime.Instant
	announced  string           // state of the fetch at the last call of Next
	wants      []placement.Want // wants at the last call of Next
}

// rankState is what the sidecar knows about the coordinator of one rank.
type rankState struct {
	address    string
	sentAt     boottime.Instant // time of the last request or announcement; 0 if there is none
	unanswered boottime.Instant // time of the first request without an answer; 0 if there is none
}

type sentRequest struct {
	seq     uint64
	at      boottime.Instant
	address string
}

type turnHeld struct {
	model, address string
	seq            uint64
	until          boottime.Instant
}

// NewRequester returns a requester whose first request has a number above firstSeq. Numbers must grow over restarts.
func NewRequester(firstSeq uint64) *Requester { return &Requester{seq: firstSeq} }

// Send is a request to send to the sidecar at an address.
type Send struct {
	Address string
	Request Request
}

// Next returns the requests to send now, given the wanted models and the state of the fetch in r and the addresses of
// the coordinators.
func (q *Requester) Next(now boottime.Instant, r Request, addresses []string) []Send {
	if now.Sub(q.calledAt) > maxPause || now.Sub(q.wantedAt) > forgetUnanswered {
		q.ranks[0].unanswered, q.ranks[1].unanswered = 0, 0
	}
	q.calledAt = now
	if len(r.Wants) > 0 {
		q.wantedAt = now
	}
	for i := range q.ranks {
		address := ""
		if i < len(addresses) {
			address = addresses[i]
		}
		if q.ranks[i].address != address {
			q.ranks[i] = rankState{address: address}
		}
	}
	state := stateOf(r)
	changed := state != q.announced
	newWants := !sameModels(r.Wants, q.wants)
	q.announced, q.wants = state, r.Wants
	var out []Send
	for i := range addresses {
		rank := &q.ranks[i]
		asking := len(r.Wants) > 0 && q.Rank(now) >= i
		withdrawn := newWants && len(r.Wants) == 0 && rank.sentAt != 0
		if !asking && state == "" && !changed && !withdrawn {
			continue
		}
		interval := requestInterval
		if asking && (newWants || rank.unanswered != 0 && now.Sub(rank.unanswered) < answerTimeout) {
			interval = unansweredInterval
		}
		if !changed && !withdrawn && rank.sentAt != 0 && now.Sub(rank.sentAt) < interval {
			continue
		}
		q.seq++
		request := r
		request.Seq = q.seq
		if !asking {
			request.Wants = nil
		} else if rank.unanswered == 0 {
			rank.unanswered = now
		}
		rank.sentAt = now
		q.sent = append(q.sent, sentRequest{q.seq, now, rank.address})
		if len(q.sent) > rememberedRequests {
			q.sent = q.sent[1:]
		}
		out = append(out, Send{rank.address, request})
	}
	return out
}

// stateOf returns a text that differs between different states of a fetch.
func stateOf(r Request) string {
	switch {
	case r.Fetch != nil:
		return "fetching " + r.Fetch.Model
	case r.Ended != nil:
		return "ended " + r.Ended.Model
	case r.Busy:
		return "busy"
	}
	return ""
}

func sameModels(a, b []placement.Want) bool {
	return slices.EqualFunc(a, b, func(x, y placement.Want) bool { return x.Model == y.Model })
}

// Rank returns the rank of the coordinator to ask: 0, 1 if the first does not answer, and 2 if neither does and the
// sidecar decides alone. It does not decide alone before it has asked.
func (q *Requester) Rank(now boottime.Instant) int {
	if q.ranks[0].address == "" {
		return 0
	}
	for i, rank := range q.ranks {
		if rank.address != "" && (rank.unanswered == 0 || now.Sub(rank.unanswered) < answerTimeout) {
			return i
		}
	}
	return len(q.ranks)
}

// Receive applies a coordinator's answer and reports whether the sidecar has got a turn. Answers that are too late for
// their turn, or that answer no request of this process, are ignored.
func (q *Requester) Receive(now boottime.Instant, a Answer) bool {
	if a.Offer != "" {
		q.offer, q.offerUntil = a.Offer, now.Add(offerValidity)
		return false
	}
	for _, sent := range q.sent {
		if sent.seq != a.Seq || now.Sub(sent.at) >= TurnValidity {
			continue
		}
		for i := range q.ranks {
			if q.ranks[i].address == sent.address {
				q.ranks[i].unanswered = 0
			}
		}
		if a.Turn == "" {
			if q.turn.address == sent.address && q.turn.seq <= a.Seq {
				q.turn = turnHeld{}
			}
			return false
		}
		if a.Seq < q.turn.seq {
			return false
		}
		q.turn = turnHeld{model: a.Turn, address: sent.address, seq: a.Seq, until: sent.at.Add(TurnValidity)}
		return true
	}
	return false
}

// Turn returns the model that may be fetched now; "" if there is none.
func (q *Requester) Turn(now boottime.Instant) string {
	if now >= q.turn.until {
		return ""
	}
	return q.turn.model
}

// Use ends the turn: an order for it is about to be sent.
func (q *Requester) Use() { q.turn.until = 0 }

// Offer returns the model of which a coordinator has offered a second copy; "" if there is none.
func (q *Requester) Offer(now boottime.Instant) string {
	if now >= q.offerUntil {
		return ""
	}
	return q.offer
}
