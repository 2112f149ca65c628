package gateway

import (
	"strconv"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/evidencestore"
	"github.com/knapweedrouter/knapweedrouter/internal/forward"
)

// TargetJudged implements forward.Observer.
func (o *observer) TargetJudged(d forward.TargetDecision) {
	fields := []zap.Field{
		zap.String("verdict", string(d.Verdict)),
		zap.String("target", string(d.Instance.Target)),
		zap.Uint64("incarnation", uint64(d.Instance.Incarnation)),
	}
	if d.Source != "" {
		fields = append(fields, zap.String("source", string(d.Source)))
	}
	switch d.Verdict {
	case forward.TargetLeaving:
		o.recordLeaving(d.Instance, fields)
	case forward.TargetQuiet:
		o.metrics.GetOrCreateCounter("knapweedrouter_targets_quiet_total").Inc()
		if o.logLimiter.Allow() {
			o.logger.Info("target wants nothing", append(fields, zap.Duration("for", d.For))...)
		}
	default:
		o.recordLoss(&d, fields)
	}
}

// recordLeaving logs a leaving instance and takes it out of the routing state.
func (o *observer) recordLeaving(i evidence.Instance, fields []zap.Field) {
	o.metrics.GetOrCreateCounter("knapweedrouter_targets_leaving_total").Inc()
	o.logger.Info("target leaving by its own word", fields...)
	if o.markLeaving != nil {
		o.markLeaving(i)
	}
}

// recordLoss counts and logs the verdict on an attempt that got no answer. The lines of quarantines are not limited, because
// crashes bound their number.
func (o *observer) recordLoss(d *forward.TargetDecision, fields []zap.Field) {
	o.metrics.GetOrCreateCounter(`knapweedrouter_losses_total{verdict="` + string(d.Verdict) + `"}`).Inc()
	if d.Fingerprint == 0 {
		if o.logLimiter.Allow() {
			o.logger.Info("probe decided nothing", fields...)
		}
		return
	}
	o.keepRecord(d)
	fields = append(fields, zap.String("fingerprint", strconv.FormatUint(d.Fingerprint, 16)), zap.Int("crashes", d.Judgement.Crashes))
	switch {
	case d.Judgement.Verdict == evidence.Quarantined:
		o.metrics.GetOrCreateCounter("knapweedrouter_quarantines_total").Inc()
		o.logger.Warn("request quarantined", append(fields, zap.Duration("left", d.Judgement.Left))...)
	case o.logLimiter.Allow():
		o.logger.Info("lost attempt judged", fields...)
	}
}

// keepRecord has the evidence about a request stored if it is worth keeping, and withdrawn if it was answered.
func (o *observer) keepRecord(d *forward.TargetDecision) {
	keep, own := evidencestore.IsWorthKeeping(d.Judgement), d.Source == ""
	switch {
	case o.records == nil:
	case keep && own:
		o.records.Save(d.Fingerprint)
	case keep:
		o.records.SaveLearned(d.Fingerprint, d.Judgement.Crashes)
	case !own:
	case d.Verdict == forward.LossRefuted:
		o.records.Withdraw(d.Fingerprint)
	}
}
