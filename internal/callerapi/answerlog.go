package callerapi

import (
	"sync"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/knapweedrouter/knapweedrouter/internal/explain"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// logLinesPerSecond and logBurst limit the log lines per caller, so that a misbehaving caller can't flood the log.
	logLinesPerSecond = 1
	logBurst          = 5
	// maxLoggedCallers limits the number of per-caller rate limiters. Further callers share one limiter.
	maxLoggedCallers = 4096
)

// answerLog logs refusals and partial answers, with a rate limit per caller.
type answerLog struct {
	logger *zap.Logger
	mu     sync.Mutex
	limits map[model.CallerID]*callerLimit
}

type callerLimit struct {
	limiter    *rate.Limiter
	suppressed int
}

func newAnswerLog(logger *zap.Logger) *answerLog {
	return &answerLog{logger: logger, limits: map[model.CallerID]*callerLimit{}}
}

// write logs a refused or partly answered request, unless its caller has exceeded the rate limit.
func (l *answerLog) write(r explain.Record) {
	isComplete := r.Refusal == nil && (r.Coverage == nil || *r.Coverage >= 1)
	if isComplete {
		return
	}
	suppressed, allowed := l.allow(r.Caller)
	if !allowed {
		return
	}
	fields := []zap.Field{
		zap.String("query", r.QueryID), zap.String("operation", r.Operation), zap.String("caller", string(r.Caller)),
		zap.String("subject", r.Subject), zap.Float64("duration_ms", r.DurationMS), zap.Int("suppressed", suppressed),
	}
	if r.Refusal != nil {
		l.logger.Info("refused", append(fields, zap.String("kind", string(r.Refusal.Kind)),
			zap.String("execution", string(r.Refusal.Execution)), zap.Error(r.Refusal))...)
		return
	}
	l.logger.Info("partial answer", append(fields, zap.Float64("coverage", *r.Coverage))...)
}

// allow reports whether a line may be logged, and how many lines have been suppressed since the previous one.
func (l *answerLog) allow(caller model.CallerID) (suppressed int, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.limits[caller]; !known && len(l.limits) >= maxLoggedCallers {
		caller = ""
	}
	limit, known := l.limits[caller]
	if !known {
		limit = &callerLimit{limiter: rate.NewLimiter(logLinesPerSecond, logBurst)}
		l.limits[caller] = limit
	}
	if !limit.limiter.Allow() {
		limit.suppressed++
		return 0, false
	}
	suppressed, limit.suppressed = limit.suppressed, 0
	return suppressed, true
}
