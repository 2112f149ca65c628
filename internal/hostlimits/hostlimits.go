// Package hostlimits divides the memory and descriptors of a host among what the process holds for others.
package hostlimits

import (
	"runtime/debug"
	"syscall"

	"github.com/knapweedrouter/knapweedrouter/internal/ingress"
	"github.com/knapweedrouter/knapweedrouter/internal/membudget"
)

// The shares of the host's memory. Together they leave half of it to the garbage of the heap, the state of the host, and the binary.
const (
	// replyMemoryShare is for targets' replies.
	replyMemoryShare = 0.125
	// requestMemoryShare is for the heads and bodies of callers' requests beyond their ordinary size.
	requestMemoryShare = 0.1
	// connectionMemoryShare is for callers' connections, each with a request of ordinary size.
	connectionMemoryShare = 0.25
	// heapShare is the size from which the garbage collector runs as often as it must to keep the heap below it.
	heapShare = 0.7
)

// The shares of the descriptors that are not for files. The rest is for the store, other hosts and listeners.
const (
	callerDescriptorShare = 0.4
	targetDescriptorShare = 0.5
)

const (
	// defaultMemoryMB is the memory of a host if it is not known.
	defaultMemoryMB = 512
	// fileDescriptors is the number of descriptors for files.
	fileDescriptors = 200
	// minSockets is the least number of descriptors to share out.
	minSockets = 50
	// MinFDs is the least number of descriptors with which a host can serve.
	MinFDs = fileDescriptors + minSockets
)

// Limits are the limits of a host.
type Limits struct {
	// MemoryMB is the memory in MB, 0 if it is not known.
	MemoryMB float64
	// MaxFDs is the number of descriptors that the process may have open, 0 if only the system limits them.
	MaxFDs int
}

// Shares are the parts of a host's memory and descriptors.
type Shares struct {
	// Replies is charged for targets' replies, Requests for callers' requests.
	Replies, Requests *membudget.Account
	// CallerConnections and TargetConnections bound the connections of callers and to targets.
	CallerConnections, TargetConnections int
}

// Divide returns the shares.
func (l Limits) Divide() Shares {
	memory := l.memoryBytes()
	sockets := float64(max(minSockets, l.descriptors()-fileDescriptors))
	connections := ingress.MaxConnections(int64(connectionMemoryShare * memory))
	return Shares{
		Replies:           membudget.NewAccount(int64(replyMemoryShare * memory)),
		Requests:          membudget.NewAccount(int64(requestMemoryShare * memory)),
		CallerConnections: min(int(callerDescriptorShare*sockets), connections),
		TargetConnections: int(targetDescriptorShare * sockets),
	}
}

// memoryBytes returns the memory of the host in bytes.
func (l Limits) memoryBytes() float64 {
	megabytes := l.MemoryMB
	if megabytes <= 0 {
		megabytes = defaultMemoryMB
	}
	return megabytes * (1 << 20)
}

// descriptors returns the number of descriptors of the process: what is configured, and no more than the system allows.
func (l Limits) descriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > maxDescriptors {
		limit.Cur = maxDescriptors
	}
	if l.MaxFDs > 0 {
		return min(l.MaxFDs, int(limit.Cur))
	}
	return int(limit.Cur)
}

// maxDescriptors bounds what is taken for the system's limit of descriptors, which may be infinite.
const maxDescriptors = 1 << 20

// LimitHeap makes the garbage collector keep the process within its memory.
func (l Limits) LimitHeap() { debug.SetMemoryLimit(int64(heapShare * l.memoryBytes())) }
