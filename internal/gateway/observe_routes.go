package gateway

import "strings"

// Outcomes of requests, as in the metrics.
const (
	outcomeAnswered = "answered"
	outcomePartial  = "partial"
	outcomeFailed   = "failed"
	outcomeRefused  = "refused"
)

// labelEscaper escapes the value of a label in the Prometheus text format.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func requestsSeries(route, outcome string) string {
	return `knapweedrouter_requests_total{route="` + labelEscaper.Replace(route) + `",outcome="` + outcome + `"}`
}

func secondsSeries(route string) string {
	return `knapweedrouter_request_seconds{route="` + labelEscaper.Replace(route) + `"}`
}

// dropSeries drops the series of routes that are not routed any more: configurations add and remove routes all day.
func (o *observer) dropSeries(isRouted func(route string) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for route := range o.series {
		if isRouted(route) {
			continue
		}
		delete(o.series, route)
		o.metrics.UnregisterMetric(secondsSeries(route))
		for _, outcome := range []string{outcomeAnswered, outcomePartial, outcomeFailed, outcomeRefused} {
			o.metrics.UnregisterMetric(requestsSeries(route, outcome))
		}
	}
}
