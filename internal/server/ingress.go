package server

import (
	"encoding/json"
	"net/http"

	"github.com/knapweedrouter/knapweedrouter/internal/callerapi"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/ingress"
)

// newIngressGuard returns the guard of a listener, of callers or operators. All are charged to one account.
func (s *Server) newIngressGuard() *ingress.Guard {
	return ingress.New(ingress.Config{
		Requests: s.shares.Requests,
		// A body of the largest size takes about as much memory as its connection.
		Connections: max(1, s.shares.CallerConnections/2),
		HeadBytes:   func() int { return maxHeaderBytes },
		Refusal:     newRefusal,
		Closed:      ingress.CountClosed(s.operator.metrics),
	})
}

// newRefusal returns the answer to a request whose head was not read to its end.
func newRefusal(err *fault.Error) ingress.Refusal {
	content, _ := json.Marshal(callerapi.ErrorReply{Error: err}) // it holds nothing that JSON cannot encode
	return ingress.Refusal{Status: err.HTTPStatus(), Header: http.Header{"Content-Type": {"application/json"}}, Body: content}
}
