package gateway

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
)

// TestHeadersOfOneConnectionAreNotForwarded guards against forwarding a header that the caller names as one of its connection only,
// also in a list.
func TestHeadersOfOneConnectionAreNotForwarded(t *testing.T) {
	kept := endToEndHeaders(http.Header{
		"Connection": {"keep-alive, X-First", "X-Second"}, "Keep-Alive": {"timeout=5"}, "X-First": {"1"}, "X-Second": {"2"}, "X-Third": {"3"},
	})
	require.Equal(t, http.Header{"X-Third": {"3"}}, kept)
}

// TestHeadOfLegalSizeIsNotTooLong guards against counting bytes that the caller did not send: a head of many short lines would be
// refused although it is inside the limit.
func TestHeadOfLegalSizeIsNotTooLong(t *testing.T) {
	for _, text := range []string{
		"GET /s/1 HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 100) + "\r\n",
		"GET /s/1 HTTP/1.1\nHost:h\n" + strings.Repeat("a:\n", 100) + "\n",
		"POST /s/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nX-Long: " + strings.Repeat("x", 1000) + "\r\n\r\n",
	} {
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		require.NoError(t, err)
		require.LessOrEqual(t, headerBytes(request), len(text))
		require.Greater(t, headerBytes(request), len(text)/2)
	}
}

// TestOnlyRequestsThatDidNotRunAreRefused guards against a false promise: a caller takes 503 and the like for "has not run and never
// will", and sends a request once more that must not run twice.
func TestOnlyRequestsThatDidNotRunAreRefused(t *testing.T) {
	for _, kind := range []fault.Kind{
		fault.RequestTimeout, fault.RateLimited, fault.Overloaded, fault.DeadlineTooShort, fault.DeadlineExceeded, fault.CoverageBelowMinimum,
		fault.Quarantined, fault.CutOff, fault.NotReady, fault.Stopping, fault.StoreUnavailable, fault.TargetFailed, fault.Unavailable, fault.Internal,
	} {
		for _, execution := range []fault.Execution{fault.OutcomeUnknown, fault.Ran, ""} {
			require.False(t, promisesNotRun(statusOf(fault.New(kind, execution, "", "failed"))), "%s, %s", kind, execution)
		}
	}
	for _, kind := range []fault.Kind{fault.Overloaded, fault.Quarantined, fault.NotReady, fault.Stopping} {
		require.Equal(t, http.StatusServiceUnavailable, statusOf(fault.New(kind, fault.NotRun, "", "refused")), kind)
	}
}
