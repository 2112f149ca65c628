package evidence

import (
	"slices"
	"time"
)

const (
	// unansweredLifetime is how long an attempt without an answer waits for the news that its target has ended. A target's
	// registration ends three heartbeats after its process, or is replaced when the next instance starts, some seconds
	// later.
	unansweredLifetime = 12 * time.Second
	// maxCutDelay is how long after its transmission an attempt may be cut for the cut to be taken as the end of its target.
	// Connections to a target that fell silent long before are reset when its next instance starts.
	maxCutDelay = time.Second
	// maxUnanswered bounds the attempts without an answer that are remembered for one instance.
	maxUnanswered = 32
)

// Request is what one host knows of the answers to a request. Attempts of concurrent or later runs of a request that has not
// been answered share it.
type Request struct {
	Fingerprint uint64
	// Answered is set once a target has answered: then the request did not end the others.
	Answered bool
}

// Attempt is an attempt of a request at an instance.
type Attempt struct {
	Request *Request
	Sent    time.Duration
	// Cut means that the attempt ended with the loss of its connection soon after it was sent.
	Cut bool
	// cutAt is when the attempt was cut.
	cutAt time.Duration
	// isOutlived means that the instance's address has answered something that was sent after the cut.
	isOutlived bool
}

// Ending is how certain it is that an instance has ended.
type Ending uint8

const (
	// Running means that nothing is known of an end.
	Running Ending = iota
	// Silent means that the instance answers nothing, not even probes on new connections.
	Silent
	// Deregistered means that the instance's registration has ended. It may go on to answer what it has: some targets
	// leave without announcing it.
	Deregistered
	// Gone means that the instance has ended: its address refuses connections.
	Gone
	// Replaced means that another instance has its ID or its address. What was answered lately may have been answered by that one.
	Replaced
)

// Witness relates the attempts at one instance to its end, in whichever order the two become known. It is not safe for
// concurrent use.
type Witness struct {
	running    []Attempt
	unanswered []Attempt
	ending     Ending
	// endKnown is when the end became known.
	endKnown time.Duration
	// planned means that the instance announced its end.
	planned bool
	// replied is the time of the latest reply of any kind.
	replied time.Duration
}

// Started records an attempt that is about to be sent.
func (w *Witness) Started(a Attempt) { w.running = append(w.running, a) }

// Replied records that the instance has sent a reply of any kind to what was sent at the given time, so that it is not silent.
func (w *Witness) Replied(now, sent time.Duration) {
	w.replied = now
	w.Reached(sent)
}

// Reached records that something at the instance's address has answered what was sent at the given time, so that the address is not
// silent.
func (w *Witness) Reached(sent time.Duration) {
	for i := range w.unanswered {
		if a := &w.unanswered[i]; a.Cut && sent > a.cutAt {
			a.isOutlived = true
		}
	}
	if w.ending == Silent {
		w.ending = Running
	}
}

// Ran records the end of an attempt that did not run.
func (w *Witness) Ran(a Attempt) { w.removeRunning(a) }

// Answered records the end of an attempt that the target has answered. If it was sent after a supposed end, the instance lives: a
// connection may be refused for other reasons.
func (w *Witness) Answered(a Attempt) {
	w.removeRunning(a)
	if w.ending != Running && a.Sent > w.endKnown {
		w.ending = Running
	}
}

// Unanswered records the end of an attempt without an answer; lost means that its connection was lost. It returns the attempt, as
// Ended does, and whether the target is known to have ended under it.
func (w *Witness) Unanswered(now time.Duration, a Attempt, lost bool) (Attempt, bool) {
	if !w.removeRunning(a) || w.planned || a.Request.Answered {
		return a, false
	}
	if lost && now-a.Sent <= maxCutDelay {
		a.Cut, a.cutAt = true, now
	}
	if w.ending != Running {
		return a, a.Sent <= w.endKnown
	}
	w.forget(now)
	if len(w.unanswered) >= maxUnanswered {
		w.unanswered = w.unanswered[1:]
	}
	w.unanswered = append(w.unanswered, a)
	return a, false
}

func (w *Witness) removeRunning(a Attempt) bool {
	at := slices.Index(w.running, a)
	if at < 0 {
		return false
	}
	last := len(w.running) - 1
	w.running[at] = w.running[last]
	w.running = w.running[:last]
	return true
}

// forget drops attempts that have waited too long.
func (w *Witness) forget(now time.Duration) {
	w.unanswered = slices.DeleteFunc(w.unanswered, func(a Attempt) bool {
		return a.Request.Answered || now-a.Sent > unansweredLifetime
	})
}

// Leaving records that the instance has announced its end, which is then no evidence.
func (w *Witness) Leaving() { w.planned, w.unanswered = true, nil }

// Ended records the end of the instance and returns the attempts that it ended under. A later call with a more certain
// ending may return further ones.
func (w *Witness) Ended(now time.Duration, ending Ending) []Attempt {
	if w.planned || ending <= w.ending || w.ending >= Gone {
		return nil
	}
	if w.ending == Running {
		w.endKnown = now
	}
	w.ending = ending
	w.forget(now)
	found := w.takeUnanswered(ending)
	if ending >= Gone {
		found = append(found, w.running...)
		w.running = nil
	}
	return slices.DeleteFunc(found, func(a Attempt) bool {
		// If the instance was running after the cut, only the connection was lost.
		return a.Request.Answered || a.isOutlived && ending != Replaced
	})
}

// takeUnanswered removes and returns the attempts that may have met the end of the instance. Silence after the latest reply says
// nothing of the attempts before it.
func (w *Witness) takeUnanswered(ending Ending) []Attempt {
	if ending != Silent {
		found := w.unanswered
		w.unanswered = nil
		return found
	}
	var found []Attempt
	sentAfterReply := func(a Attempt) bool {
		if a.Sent <= w.replied {
			return false
		}
		found = append(found, a)
		return true
	}
	w.unanswered = slices.DeleteFunc(w.unanswered, sentAfterReply)
	w.running = slices.DeleteFunc(w.running, sentAfterReply)
	return found
}

// HasRepliedSince reports whether the instance has sent a reply after the given time.
func (w *Witness) HasRepliedSince(at time.Duration) bool { return w.replied > at }

// IsRunning reports whether an attempt of the request is in progress.
func (w *Witness) IsRunning(r *Request) bool {
	return slices.ContainsFunc(w.running, func(a Attempt) bool { return a.Request == r })
}

// IsSilent reports whether the instance is known to answer nothing.
func (w *Witness) IsSilent() bool { return w.ending == Silent }

// IsWaiting reports whether news of an end would be evidence.
func (w *Witness) IsWaiting() bool {
	return w.ending < Gone && (len(w.unanswered) > 0 || len(w.running) > 0)
}
