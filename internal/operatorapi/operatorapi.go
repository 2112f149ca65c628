// Package operatorapi is the HTTP listener for operators: metrics, health, state dumps and profiles, and the operators'
// commands and queries. Everything but metrics and health needs an operator's token.
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

// headerTimeout bounds the wait for a request's headers. Answers have no bound, because a profile takes as long as its
// reader asks for.
const headerTimeout = 2 * time.Second

// Routes is a group of routes that operators use, such as the commands.
type Routes interface {
	// Register adds the routes. wrap authenticates operators.
	Register(router *httprouter.Router, wrap func(httprouter.Handle) httprouter.Handle)
}

// Config holds the ports of the listener.
type Config struct {
	// Tokens are the tokens that operators may present. Without any, every request that needs a token is refused.
	Tokens [][]byte
	// Metrics is the set that /metrics shows beside the metrics of the process.
	Metrics *metrics.Set
	Dumps   *statedump.Registry
	// Ready returns nil if the host takes new work, and otherwise the reason why not.
	Ready func() error
	// Routes are the commands and the queries.
	Routes []Routes
}

// API serves operators.
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

// LoadTokens reads the operators' tokens that the settings name.
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

// Server returns an HTTP server that has not started.
func (a *API) Server() *http.Server {
	return &http.Server{Handler: a.Handler(), ReadHeaderTimeout: headerTimeout}
}

// Handler returns the HTTP routes.
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

// authenticated refuses requests without a valid token. The comparison takes the same time for every wrong token.
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
				"the request bears no valid operator token"))
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

// state shows the dumps that the parameter "name" lists, or all.
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
