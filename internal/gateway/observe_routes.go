package gateway

import "strings"

// labelEscaper escapes the value of a label in the Prometheus text format.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func requestsSeries(route, outcome string) string {
	return `knapweedrouter_requests_total{route="` + labelEscaper.Replace(route) + `",outcome="` + outcome + `"}`
}

func secondsSeries(route string) string {
	return `knapweedrouter_request_seconds{route="` + labelEscaper.Replace(route) + `"}`
}
