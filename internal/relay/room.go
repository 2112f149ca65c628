package relay

import (
	"context"
	"errors"
)

const (
	// maxRepliesBytes bounds the replies of a relay that are under way, of which there is one for each host that pulls from it. With this
	// many, hosts on thin links do not leave a relay's link of 200 Mbit/s idle.
	maxRepliesBytes = 16 << 20
	// smallReplyBytes is the size up to which replies are not counted.
	smallReplyBytes = 16 << 10
)

// errNoRoom means that too many large replies were under way for the whole time of a pull.
var errNoRoom = errors.New("relay: too many large replies are under way; pull from another relay")

// Done implements peer.Tracked.
func (r pullReply) Done() {
	if r.release != nil {
		r.release()
	}
}

// admitReply waits until a reply fits beside those that are under way. After a wait it returns the latest reply to the pull in its place.
func (r *Relay) admitReply(ctx context.Context, p *pull, reply pullReply) (pullReply, error) {
	size := reply.size()
	if size <= smallReplyBytes {
		return reply, nil
	}
	weight := int64(min(size, maxRepliesBytes))
	if !r.replyRoom.TryAcquire(weight) {
		began := r.cfg.Clock()
		bounded, cancel := context.WithTimeout(ctx, p.Wait+replyGrace-reply.Held)
		defer cancel()
		if r.replyRoom.Acquire(bounded, weight) != nil {
			return pullReply{}, errNoRoom
		}
		latest, _ := r.log.currentReply(*p)
		latest.News = reply.News
		latest.Held = reply.Held + r.cfg.Clock() - began
		reply = latest
	}
	reply.release = func() { r.replyRoom.Release(weight) }
	return reply, nil
}

// size returns the size of the entries and changes of a reply.
func (r *pullReply) size() int {
	size := sizeOfAll(r.Changes)
	for i := range r.Entries {
		size += sizeOf(&r.Entries[i])
	}
	return size
}
