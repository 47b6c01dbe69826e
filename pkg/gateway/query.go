package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// engineQueryTimeout bounds a query for an engine's heartbeat. A reply that comes later than the upstream's attempts are
// aborted is of no use to them, but ends the upstream's time without requests.
const engineQueryTimeout = 600 * time.Millisecond

// queryEngine asks the engine for its report, on a new connection and beside the loop of messages, and records the reply
// as a heartbeat. The report takes no slot of the engine, and only a running process answers it: the kernel of a VM
// acknowledges segments and accepts connections for a process that is stopped or has hung. An open connection cannot be
// asked instead, since nothing may be sent on it while its request runs; the kernel's keep-alive probes check it.
func (p *Peers) queryEngine(ctx context.Context, u *dispatch.UpstreamRef) {
	go p.guard.Try("query for an engine's heartbeat", func() {
		ctx, cancel := context.WithTimeout(ctx, engineQueryTimeout)
		defer cancel()
		q := platform.NewInstanceQuery(u.ID, "")
		q.Header.Set("Connection", "close") // an engine has a limited number of connections
		sentAt := time.Now()
		if _, err := queryInstance(ctx, p.queryPool, u, q); err != nil {
			p.log.Request("engine does not reply", "upstream", u.ID, "err", err)
			return
		}
		recovered, agentUnresponsive := false, false
		p.core.Do(func(s *dispatch.State) {
			recovered = s.Fleet.RecordHeartbeat(time.Now(), u.ID, u.StartedUnixMS)
			s.Fleet.RecordProof(sentAt, u.ID, u.StartedUnixMS)
			m := s.Fleet.Get(u.ID)
			agentUnresponsive = m != nil && m.IsAgentUnresponsive()
		})
		if agentUnresponsive {
			p.log.Request("engine replies, its agent does not", "upstream", u.ID)
		}
		if recovered {
			p.core.Update(func(*dispatch.State) {})
			p.log.State("upstream is no longer silent", "upstream", u.ID, "heartbeat", "engine")
		}
	})
}

// maxQueryReplyBytes bounds the body of the reply to a query. An engine's report takes some kilobytes. Replies need no account
// of memory: the buffer is taken when a reply arrives and held while it is read.
const maxQueryReplyBytes = 64 << 10

// readQueryReply reads the body of a reply. The error is errAnswerTooLong if it is cut at the bound.
func readQueryReply(r io.Reader) ([]byte, error) {
	body, err := fill(r, make([]byte, maxQueryReplyBytes))
	switch {
	case err == nil:
		return body, errAnswerTooLong
	case errors.Is(err, io.EOF):
		return body, nil
	}
	return nil, err
}
