// Package operatorapi implements the HTTP listener for operators. It serves metrics, health checks, state dumps, profiles,
// and the operators' commands and queries. Everything except metrics and health checks requires an operator token.
package operatorapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/operatorwire"
	"github.com/knapweedrouter/knapweedrouter/internal/settings"
	"github.com/knapweedrouter/knapweedrouter/internal/statedump"
	"github.com/knapweedrouter/knapweedrouter/internal/version"
)

// headerTimeout bounds the time to read request headers. Responses have no timeout because the client chooses the
// duration of a profile.
const headerTimeout = 2 * time.Second

// Routes is a group of operator routes, such as the commands.
type Routes interface {
	// Register adds the routes to the router. wrap adds operator authentication to a handler.
	Register(router *httprouter.Router, wrap func(httprouter.Handle) httprouter.Handle)
}

// Config holds the dependencies of the listener.
type Config struct {
	// Tokens lists the valid operator tokens. If it is empty, every request that requires a token is refused.
	Tokens [][]byte
	// Metrics is the set that /metrics exposes in addition to the process metrics.
	Metrics *metrics.Set
	Dumps   *statedump.Registry
	// Ready returns nil if the host accepts new work, and the reason otherwise.
	Ready func() error
	// Routes lists the commands and the queries.
	Routes []Routes
}

// API is the HTTP API for operators.
type API struct {
	logger *zap.Logger
	cfg    Config
	hashes [][sha256.Size]byte
}

// New returns the operator API.
func New(logger *zap.Logger, cfg Config) *API {
	api := &API{logger: logger, cfg: cfg}
	for _, token := range cfg.Tokens {
		api.hashes = append(api.hashes, sha256.Sum256(token))
	}
	return api
}

// LoadTokens reads the operator tokens from the files named in the settings.
func LoadTokens(s settings.Settings) ([][]byte, error) {
	var tokens [][]byte
	for _, path := range s.OperatorTokenFiles {
		token, err := settings.ReadToken(path)
		if err != nil {
			return nil, err
		}
		tokens = append(tokens, token)
	}
	return tokens, nil
}

// Server returns an HTTP server for the API that is not started.
func (a *API) Server() *http.Server {
	return &http.Server{Handler: a.Handler(), ReadHeaderTimeout: headerTimeout}
}

// Handler returns the HTTP handler of the API.
func (a *API) Handler() http.Handler {
	router := httprouter.New()
	router.GET(operatorwire.PathMetrics, a.metrics)
	router.GET(operatorwire.PathHealth, health)
	router.GET(operatorwire.PathReady, a.ready)
	router.GET(operatorwire.PathState, a.authenticated(a.state))
	router.GET(operatorwire.PathProfiles+"*name", a.authenticated(profile))
	for _, routes := range a.cfg.Routes {
		routes.Register(router, a.authenticated)
	}
	return router
}

// authenticated wraps a handler and refuses requests without a valid token. Tokens are compared in constant time.
func (a *API) authenticated(handle httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		valid := 0
		for _, hash := range a.hashes {
			valid |= subtle.ConstantTimeCompare(sum[:], hash[:])
		}
		if valid != 1 {
			a.logger.Warn("operator request without a valid token", zap.String("path", r.URL.Path), zap.String("from", r.RemoteAddr))
			operatorwire.WriteError(w, fault.New(fault.Unauthenticated, fault.NotRun,
				"send the header Authorization: Bearer TOKEN with a token of operator_token_files",
				"the request carries no valid operator token"))
			return
		}
		handle(w, r, params)
	}
}

func (a *API) metrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	a.cfg.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	operatorwire.Write(w, http.StatusOK, map[string]string{"status": "ok", "version": version.String()})
}

func (a *API) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if err := a.cfg.Ready(); err != nil {
		operatorwire.WriteError(w, err)
		return
	}
	operatorwire.Write(w, http.StatusOK, map[string]string{"status": "ready"})
}

// state writes the state dumps named by the query parameter "name", or all dumps.
func (a *API) state(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	operatorwire.Write(w, http.StatusOK, a.cfg.Dumps.Dump(r.URL.Query()["name"]...))
}

func profile(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	switch strings.Trim(params.ByName("name"), "/") {
	case "cmdline":
		pprof.Cmdline(w, r)
	case "profile":
		pprof.Profile(w, r)
	case "symbol":
		pprof.Symbol(w, r)
	case "trace":
		pprof.Trace(w, r)
	default:
		pprof.Index(w, r)
	}
}
