// Package admission decides in which order a host runs requests when it can't run all of them at once, and refuses early
// those that would miss their deadline. Callers share a saturated host by weighted fair queueing; within a caller the
// earliest deadline goes first. It is pure: time is passed in, and the caller of the package starts the requests.
package admission

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/concurrency"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Request is one request that asks to run.
type Request struct {
	// ID is unique among the requests that wait or run.
	ID     uint64
	Caller model.CallerID
	Class  model.Class
	// Work names what the request asks for, a search or a service. Requests of the same work take about the same time.
	Work string
	// Cost is the number of target attempts that the request needs first.
	Cost float64
	// Deadline is the time since process start at which the caller stops waiting.
	Deadline time.Duration
}

// Config describes a controller.
type Config struct {
	// Running limits the requests that run at once.
	Running concurrency.Config
	// QueuePerCaller is the number of requests of one caller that may wait.
	QueuePerCaller int
	// Latency is the first estimate of the time that a request runs.
	Latency time.Duration
}

// Validate returns an error that names the faulty field.
func (c Config) Validate() error {
	if err := c.Running.Validate(); err != nil {
		return fmt.Errorf("running: %w", err)
	}
	if c.QueuePerCaller < 1 {
		return fmt.Errorf("queue per caller %d: use at least 1", c.QueuePerCaller)
	}
	if c.Latency <= 0 {
		return fmt.Errorf("latency %s: use more than 0", c.Latency)
	}
	return nil
}

// Verdict is the answer to a request that asks to run.
type Verdict uint8

// The verdicts.
const (
	// Started means that the request runs now.
	Started Verdict = iota + 1
	// Queued means that the request waits; Finish or Expire names it later.
	Queued
	// TooLate means that the request can't end before its deadline.
	TooLate
	// QueueFull means that the caller has as many requests waiting as it may.
	QueueFull
)

// Decision is a verdict with the estimated wait. For a refusal the wait is the time after which a repeat is useful.
type Decision struct {
	Verdict Verdict
	Wait    time.Duration
}

// weights are the shares of the classes at a saturated host.
var weights = map[model.Class]float64{
	model.ClassInteractive: 4,
	model.ClassCounter:     2,
	model.ClassBatch:       1,
}

func weightOf(class model.Class) float64 {
	if weight, ok := weights[class]; ok {
		return weight
	}
	return weights[model.ClassBatch]
}

// callerQueue holds the waiting requests of one caller.
type callerQueue struct {
	weight   float64
	requests byDeadline
	// tag is the virtual time at which the caller's next request is due.
	tag float64
}

// Controller orders the requests of one host. It is not safe for concurrent use.
type Controller struct {
	cfg     Config
	limiter concurrency.Limiter
	running int
	waiting int
	callers map[model.CallerID]*callerQueue
	// virtual is the virtual time of the fair queue: the tag of the request that was started last.
	virtual float64
	// latency is the estimate over all requests, works that over the requests of each work.
	latency estimate
	works   map[string]estimate
}

// New returns a controller of a valid configuration.
func New(cfg Config) *Controller {
	return &Controller{
		cfg:     cfg,
		limiter: concurrency.New(cfg.Running),
		callers: map[model.CallerID]*callerQueue{},
		latency: estimate{mean: cfg.Latency},
		works:   map[string]estimate{},
	}
}

// Offer decides about a new request.
func (c *Controller) Offer(now time.Duration, r Request) Decision {
	queue := c.queueOf(r)
	latency := c.latencyOf(now, r.Work)
	if c.waiting == 0 && c.running < c.limiter.Limit() {
		// A host with free slots tries a tight deadline too: about half of the mean is the fastest that requests run.
		if now+latency/2 > r.Deadline {
			return Decision{Verdict: TooLate, Wait: latency}
		}
		c.charge(queue, r.Cost)
		c.running++
		return Decision{Verdict: Started}
	}
	wait := c.estimateWait(now, queue)
	switch {
	case len(queue.requests) >= c.cfg.QueuePerCaller:
		return Decision{Verdict: QueueFull, Wait: wait}
	case now+wait+latency > r.Deadline:
		return Decision{Verdict: TooLate, Wait: wait}
	}
	heap.Push(&queue.requests, r)
	c.waiting++
	return Decision{Verdict: Queued, Wait: wait}
}

// Finish takes the end of a running request of a work and returns the requests that start now.
func (c *Controller) Finish(now time.Duration, work string, latency time.Duration, outcome concurrency.Outcome) []Request {
	c.limiter.Observe(now, latency, c.running, outcome)
	c.running--
	if outcome == concurrency.Success {
		c.learn(now, work, latency)
	}
	return c.startNext(now)
}

// SetLimit sets the number of requests that may run at once, at least 1. It replaces the limiter of the configuration.
func (c *Controller) SetLimit(limit int) { c.limiter = concurrency.Fixed(limit) }

// Expire removes the waiting requests that can't end before their deadline any more and returns them.
func (c *Controller) Expire(now time.Duration) []Request {
	var expired []Request
	for _, queue := range c.callers {
		for len(queue.requests) > 0 && c.isTooLate(now, queue.requests[0]) {
			expired = append(expired, c.pop(queue))
		}
	}
	return expired
}

// Forget drops the state of callers that have nothing waiting, so that deleted callers take no memory. Their share starts
// again from the present virtual time.
func (c *Controller) Forget() {
	for id, queue := range c.callers {
		if len(queue.requests) == 0 && queue.tag <= c.virtual {
			delete(c.callers, id)
		}
	}
}

// Load describes the controller for state dumps.
type Load struct {
	Running int           `json:"running"`
	Limit   int           `json:"limit"`
	Waiting int           `json:"waiting"`
	Callers int           `json:"callers"`
	Latency time.Duration `json:"latency_ns"`
}

// Load returns the present load.
func (c *Controller) Load() Load {
	return Load{
		Running: c.running,
		Limit:   c.limiter.Limit(),
		Waiting: c.waiting,
		Callers: len(c.callers),
		Latency: c.latency.mean,
	}
}

func (c *Controller) queueOf(r Request) *callerQueue {
	queue := c.callers[r.Caller]
	if queue == nil {
		queue = &callerQueue{}
		c.callers[r.Caller] = queue
	}
	queue.weight = weightOf(r.Class)
	if len(queue.requests) == 0 {
		queue.tag = max(queue.tag, c.virtual)
	}
	return queue
}

// charge advances the virtual time and the caller's tag by one started request.
func (c *Controller) charge(queue *callerQueue, cost float64) {
	c.virtual = max(c.virtual, queue.tag)
	queue.tag += max(1, cost) / queue.weight
}

// startNext starts waiting requests up to the limit, the caller with the lowest tag first.
func (c *Controller) startNext(now time.Duration) []Request {
	var started []Request
	for c.running < c.limiter.Limit() {
		queue := c.lowest(now)
		if queue == nil {
			return started
		}
		r := c.pop(queue)
		c.charge(queue, r.Cost)
		c.running++
		started = append(started, r)
	}
	return started
}

// lowest returns the queue with the lowest tag among those whose next request is still useful.
func (c *Controller) lowest(now time.Duration) *callerQueue {
	var found *callerQueue
	for _, queue := range c.callers {
		if len(queue.requests) == 0 || c.isTooLate(now, queue.requests[0]) {
			continue
		}
		if found == nil || queue.tag < found.tag {
			found = queue
		}
	}
	return found
}

// isTooLate tells whether a request that waited can't be expected to end in time. At a saturated host its slot is worth
// more to another request.
func (c *Controller) isTooLate(now time.Duration, r Request) bool {
	return now+c.latencyOf(now, r.Work) > r.Deadline
}

func (c *Controller) pop(queue *callerQueue) Request {
	c.waiting--
	return heap.Pop(&queue.requests).(Request)
}

// estimateWait returns the time until one more request of the caller would start: the requests before it, divided by the
// caller's share of the rate at which the host ends requests.
func (c *Controller) estimateWait(now time.Duration, queue *callerQueue) time.Duration {
	weight := queue.weight
	for _, other := range c.callers {
		if other != queue && len(other.requests) > 0 {
			weight += other.weight
		}
	}
	perSecond := float64(c.limiter.Limit()) / c.latency.at(now).Seconds() * queue.weight / weight
	return time.Duration(float64(len(queue.requests)+1) / perSecond * float64(time.Second))
}

// byDeadline is a heap of requests, the earliest deadline first.
type byDeadline []Request

// Len implements heap.Interface.
func (b byDeadline) Len() int { return len(b) }

// Less implements heap.Interface.
func (b byDeadline) Less(i, j int) bool { return b[i].Deadline < b[j].Deadline }

// Swap implements heap.Interface.
func (b byDeadline) Swap(i, j int) { b[i], b[j] = b[j], b[i] }

// Push implements heap.Interface.
func (b *byDeadline) Push(r any) { *b = append(*b, r.(Request)) }

// Pop implements heap.Interface.
func (b *byDeadline) Pop() any {
	last := len(*b) - 1
	r := (*b)[last]
	*b = (*b)[:last]
	return r
}
