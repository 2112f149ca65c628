// Package admission schedules requests when a host can't run all of them at once, and refuses early those that
// would miss their deadline. Callers share a saturated host by weighted fair queueing; among the requests of one
// caller, the one with the earliest deadline runs first. The package performs no I/O and reads no clock: the
// current time is passed in, and the caller of the package starts the requests.
package admission

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/concurrency"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Request is a request for admission.
type Request struct {
	// ID is unique among the waiting and running requests.
	ID     uint64
	Caller model.CallerID
	Class  model.Class
	// WorkName names the requested search or service. Requests with the same WorkName have similar latencies.
	WorkName string
	// Cost is the number of target attempts that the request needs initially.
	Cost float64
	// Deadline is the time since process start at which the caller stops waiting.
	Deadline time.Duration
}

// Config configures a Controller.
type Config struct {
	// Running configures the limit on concurrently running requests.
	Running concurrency.Config
	// QueuePerCaller is the maximum number of waiting requests of one caller.
	QueuePerCaller int
	// Latency is the initial estimate of a request's latency.
	Latency time.Duration
}

// Validate returns an error that names the invalid field.
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

// Verdict is the result of Offer.
type Verdict uint8

// The verdicts. The zero value is invalid.
const (
	// Started means that the request runs now.
	Started Verdict = iota + 1
	// Queued means that the request waits. Finish or Expire returns it later.
	Queued
	// TooLate means that the request is not expected to finish before its deadline.
	TooLate
	// QueueFull means that the caller's queue is full.
	QueueFull
)

// Decision is a verdict with the estimated wait. For a refused request, Wait is the recommended retry delay.
type Decision struct {
	Verdict Verdict
	Wait    time.Duration
}

// weights are the fair-queueing weights of the request classes.
var weights = map[model.Class]float64{
	model.ClassInteractive: 4,
	model.ClassCounter:     2,
	model.ClassBatch:       1,
}

func weightFor(class model.Class) float64 {
	if weight, ok := weights[class]; ok {
		return weight
	}
	return weights[model.ClassBatch]
}

// callerQueue holds the waiting requests of one caller.
type callerQueue struct {
	weight   float64
	requests byDeadline
	// tag is the virtual start time of the caller's next request.
	tag float64
}

// Controller schedules the requests of one host. It is not safe for concurrent use.
type Controller struct {
	cfg     Config
	limiter concurrency.Limiter
	running int
	waiting int
	callers map[model.CallerID]*callerQueue
	// virtualTime is the virtual time of the fair queue: the highest tag of a started request.
	virtualTime float64
	// latency is the estimate over all requests. latencyByWorkName holds the estimates for each Request.WorkName.
	latency           latencyEstimate
	latencyByWorkName map[string]latencyEstimate
}

// New returns a controller. cfg must be valid.
func New(cfg Config) *Controller {
	return &Controller{
		cfg:               cfg,
		limiter:           concurrency.New(cfg.Running),
		callers:           map[model.CallerID]*callerQueue{},
		latency:           latencyEstimate{mean: cfg.Latency},
		latencyByWorkName: map[string]latencyEstimate{},
	}
}

// Offer decides whether a new request is started, queued or refused.
func (c *Controller) Offer(now time.Duration, r Request) Decision {
	queue := c.queueFor(r)
	latency := c.latencyFor(now, r.WorkName)
	if c.waiting == 0 && c.running < c.limiter.Limit() {
		// A host with free capacity also accepts tight deadlines: the fastest requests take about half of the mean
		// latency.
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

// Finish records the end of a running request and returns the requests to start now.
func (c *Controller) Finish(
	now time.Duration, workName string, latency time.Duration, outcome concurrency.Outcome,
) []Request {
	c.limiter.Observe(now, latency, c.running, outcome)
	c.running--
	if outcome == concurrency.Success {
		c.recordLatency(now, workName, latency)
	}
	return c.startNext(now)
}

// SetLimit sets a fixed number of concurrently running requests, at least 1. It replaces the configured limiter.
func (c *Controller) SetLimit(limit int) { c.limiter = concurrency.Fixed(limit) }

// Expire removes and returns the waiting requests that are no longer expected to finish before their deadline.
func (c *Controller) Expire(now time.Duration) []Request {
	var expired []Request
	for _, queue := range c.callers {
		for len(queue.requests) > 0 && c.wouldMissDeadline(now, queue.requests[0]) {
			expired = append(expired, c.pop(queue))
		}
	}
	return expired
}

// Withdraw removes a waiting request. It returns false if the request is not waiting.
func (c *Controller) Withdraw(caller model.CallerID, id uint64) bool {
	queue := c.callers[caller]
	if queue == nil {
		return false
	}
	at := slices.IndexFunc(queue.requests, func(r Request) bool { return r.ID == id })
	if at < 0 {
		return false
	}
	heap.Remove(&queue.requests, at)
	c.waiting--
	return true
}

// Forget removes the state of callers without waiting requests, so that deleted callers use no memory. A returning
// caller starts from the current virtual time.
func (c *Controller) Forget() {
	for id, queue := range c.callers {
		if len(queue.requests) == 0 && queue.tag <= c.virtualTime {
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

// Load returns the current load.
func (c *Controller) Load() Load {
	return Load{
		Running: c.running,
		Limit:   c.limiter.Limit(),
		Waiting: c.waiting,
		Callers: len(c.callers),
		Latency: c.latency.mean,
	}
}

func (c *Controller) queueFor(r Request) *callerQueue {
	queue := c.callers[r.Caller]
	if queue == nil {
		queue = &callerQueue{}
		c.callers[r.Caller] = queue
	}
	queue.weight = weightFor(r.Class)
	if len(queue.requests) == 0 {
		queue.tag = max(queue.tag, c.virtualTime)
	}
	return queue
}

// charge advances the virtual time and the caller's tag for one started request.
func (c *Controller) charge(queue *callerQueue, cost float64) {
	c.virtualTime = max(c.virtualTime, queue.tag)
	queue.tag += max(1, cost) / queue.weight
}

// startNext starts waiting requests until the limit is reached, in the order of their callers' tags.
func (c *Controller) startNext(now time.Duration) []Request {
	var started []Request
	for c.running < c.limiter.Limit() {
		queue := c.nextQueue(now)
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

// nextQueue returns the queue with the lowest tag among those whose next request can still meet its deadline, or
// nil.
func (c *Controller) nextQueue(now time.Duration) *callerQueue {
	var found *callerQueue
	for _, queue := range c.callers {
		if len(queue.requests) == 0 || c.wouldMissDeadline(now, queue.requests[0]) {
			continue
		}
		if found == nil || queue.tag < found.tag {
			found = queue
		}
	}
	return found
}

// wouldMissDeadline reports whether a waiting request is not expected to finish in time. Unlike Offer with free
// capacity, it assumes the full mean latency: on a saturated host, the slot is of more use to another request.
func (c *Controller) wouldMissDeadline(now time.Duration, r Request) bool {
	return now+c.latencyFor(now, r.WorkName) > r.Deadline
}

func (c *Controller) pop(queue *callerQueue) Request {
	c.waiting--
	return heap.Pop(&queue.requests).(Request)
}

// estimateWait returns the expected time until one more request of the caller starts: the number of requests ahead
// of it, divided by the caller's share of the host's throughput.
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

// byDeadline is a heap of requests, ordered by deadline.
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
