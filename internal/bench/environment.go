package bench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/control"
	"github.com/knapweedrouter/knapweedrouter/internal/deployment"
	"github.com/knapweedrouter/knapweedrouter/internal/hostlist"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/fleet"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/memnet"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/platform"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/target"
)

const (
	minServiceTime = 8 * time.Millisecond
	// maxCapacity in queries per second bounds the real time of a run. A deployment with more slots gets a longer
	// service time, so that a lower rate gives the same utilisation.
	maxCapacity = 800
	// meanServiceFactor is the ratio of the mean to the median service time, see target.Config.ServiceTime.
	meanServiceFactor = 1.22
	firstVersion      = 7
	maxBenchHosts     = 6
)

// IDs of the callers that generate the load.
const (
	callerFast      model.CallerID = "fast"
	callerFull      model.CallerID = "full"
	callerOverLimit model.CallerID = "careless"
	callerPoison    model.CallerID = "poison"
)

// host is one entry host of the bench.
type host struct {
	id         model.HostID
	dataCentre model.DataCentreID
	region     model.RegionID
	caller     string
	operator   string
	peer       string
}

// environment holds the stand-ins and hosts of one run.
type environment struct {
	deployment deployment.Deployment
	catalogue  model.Catalogue
	targets    map[model.TargetID]*target.Target
	store      *platform.Store
	hostList   *platform.HostList
	network    *memnet.Network
	hosts      []host
	rng        *rand.Rand
	start      time.Time
	outAt      time.Time
	backAt     time.Time
}

func newEnvironment(d deployment.Deployment, s Scenario, seed uint64) (*environment, error) {
	catalogue := d.Catalogue("10.0.0.1", 20000)
	catalogue.Generation = 1
	env := &environment{
		deployment: d,
		store:      platform.NewStore(),
		network:    memnet.New(),
		rng:        rand.New(rand.NewPCG(seed, 2)),
		start:      time.Now(),
	}
	catalogue.Callers = callers(catalogue, env.capacity(catalogue), s)
	env.catalogue = catalogue
	env.targets = fleet.New(fleet.Config{
		Catalogue: catalogue, Version: firstVersion, ServiceTime: env.serviceTime(catalogue), Seed: seed,
	})
	env.addHosts()
	return env, control.Bootstrap(context.Background(), env.store, env.catalogue)
}

func (env *environment) addHosts() {
	var records []hostlist.Record
	centres := env.deployment.DataCentres
	dataCentres := map[string]model.DataCentreID{} // by host ID
	for i := range min(env.deployment.Hosts, maxBenchHosts) {
		centre := centres[i%len(centres)]
		id := model.HostID(fmt.Sprintf("host-%02d", i))
		address := fmt.Sprintf("10.1.0.%d", i+1)
		h := host{id, centre.ID, centre.Region, address + ":8080", address + ":8081", address + ":8082"}
		env.hosts = append(env.hosts, h)
		dataCentres[string(id)] = centre.ID
		records = append(records, hostlist.Record{
			ID: id, Address: h.peer, DataCentre: centre.ID, State: hostlist.Live,
		})
	}
	env.hostList = platform.NewHostList(records)
	between := milliseconds(env.deployment.DelayBetweenMS)
	toClients := milliseconds(env.deployment.DelayToClientsMS)
	env.network.Delay = func(from, to string) time.Duration {
		a, knownA := dataCentres[from]
		b, knownB := dataCentres[to]
		switch {
		case !knownA || !knownB:
			return toClients
		case a == b:
			return localDelay
		}
		return between
	}
}

// localDelay is the one-way delay within a data centre.
const localDelay = 100 * time.Microsecond

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// serviceTime returns the median service time of a warm target.
func (env *environment) serviceTime(catalogue model.Catalogue) time.Duration {
	first := catalogue.Indexes[0].Groups[0]
	slots := 0
	for _, t := range catalogue.Targets {
		if slices.Contains(first.Targets, t.ID) {
			slots += t.Slots
		}
	}
	seconds := float64(slots) / maxCapacity / meanServiceFactor
	return max(minServiceTime, time.Duration(seconds*float64(time.Second)))
}

// capacity returns the queries per second that the targets of each search can serve.
func (env *environment) capacity(catalogue model.Catalogue) map[model.SearchID]float64 {
	slots := map[model.TargetID]int{}
	for _, t := range catalogue.Targets {
		slots[t.ID] = t.Slots
	}
	serviceTime := env.serviceTime(catalogue)
	perGroup := map[model.IndexID]float64{}
	for _, index := range catalogue.Indexes {
		total := 0
		for _, id := range index.Groups[0].Targets {
			total += slots[id]
		}
		perGroup[index.ID] = float64(total) / (serviceTime.Seconds() * meanServiceFactor)
	}
	result := map[model.SearchID]float64{}
	for _, search := range catalogue.Searches {
		least := perGroup[search.Indexes[0]]
		for _, index := range search.Indexes {
			least = min(least, perGroup[index])
		}
		result[search.ID] = least
	}
	return result
}

func callers(catalogue model.Catalogue, capacity map[model.SearchID]float64, s Scenario) []model.Caller {
	rate := capacity[catalogue.Searches[0].ID]
	grants := map[model.CallerID]float64{callerFast: 3 * rate, callerFull: 3 * rate}
	if s.OverLimit {
		grants[callerOverLimit] = rate * lowRateShare
	}
	if s.Poison {
		grants[callerPoison] = rate * lowRateShare
	}
	var result []model.Caller
	for _, id := range []model.CallerID{callerFast, callerFull, callerOverLimit, callerPoison} {
		grant, ok := grants[id]
		if !ok {
			continue
		}
		sum := sha256.Sum256([]byte(id))
		caller := model.Caller{
			ID:          id,
			Owner:       "owner of " + string(id),
			Class:       model.ClassInteractive,
			TokenSHA256: []string{hex.EncodeToString(sum[:])},
			Rate:        grant,
			InFlight:    1000,
			Cost:        grant * 40,
		}
		for _, search := range catalogue.Searches {
			caller.Searches = append(caller.Searches, search.ID)
		}
		for _, service := range catalogue.Services {
			caller.Services = append(caller.Services, service.ID)
		}
		result = append(result, caller)
	}
	return result
}

// lowRateShare is the permitted rate of the over-limit and poison callers, as a fraction of the capacity.
const lowRateShare = 0.1

// publishTimeout bounds the wait for the outcome of a change whose reply was lost.
const publishTimeout = 2 * time.Second

// publish submits the edits as an operator does and stores the accepted generation.
func (env *environment) publish(edits []change.Edit) error {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	basedOn := env.catalogue.Generation
	id := fmt.Sprintf("bench-%d", basedOn+1)
	generation, err := control.Accept(ctx, env.store, change.Change{ID: id, BasedOn: basedOn, Edits: edits})
	if err == nil {
		env.catalogue.Generation = generation
	}
	return err
}

// republishCatalogue publishes the unchanged catalogue as a new generation.
func (env *environment) republishCatalogue() {
	env.change(env.catalogue)
}

// change publishes the next catalogue. Without differences it rewrites one caller, so that a new generation is made.
func (env *environment) change(next model.Catalogue) {
	edits := change.Diff(&env.catalogue, &next)
	if len(edits) == 0 {
		first := change.Entries(&next, change.Caller)[0]
		edits = []change.Edit{{Op: change.Put, Kind: first.Kind, ID: first.ID, Value: first.Value}}
	}
	env.catalogue = next
	_ = env.publish(edits) // fails in scenarios where the store is down or loses replies
}

func (env *environment) setDataCentreOut(out bool) {
	centre := outDataCentre(env.catalogue)
	next := withoutDataCentresOut(env.catalogue)
	if out {
		env.outAt = time.Now()
		next.DataCentresOut = []model.DataCentreOut{{
			ID: centre, Reason: "bench", Since: env.catalogue.Generation + 1,
		}}
	} else {
		env.backAt = time.Now()
		env.makeDataCentreCold(centre)
	}
	env.change(next)
}

func withoutDataCentresOut(c model.Catalogue) model.Catalogue {
	c.DataCentresOut = nil
	return c
}

// makeDataCentreCold makes every target of a data centre cold, as when the data centre returns.
func (env *environment) makeDataCentreCold(centre model.DataCentreID) {
	for _, t := range env.catalogue.Targets {
		if t.DataCentre == centre {
			env.targets[t.ID].TurnCold()
		}
	}
}

// slowReplicas slows down one replica of every third group.
func (env *environment) slowReplicas(factor float64) {
	for _, index := range env.catalogue.Indexes {
		for g, group := range index.Groups {
			if g%3 == 0 {
				env.targets[group.Targets[env.rng.IntN(len(group.Targets))]].SetSlowdown(factor)
			}
		}
	}
}

// makeReplicasCold makes one replica of every second group cold without a restart.
func (env *environment) makeReplicasCold() {
	for _, index := range env.catalogue.Indexes {
		for g, group := range index.Groups {
			if g%2 == 0 {
				env.targets[group.Targets[env.rng.IntN(len(group.Targets))]].TurnCold()
			}
		}
	}
}

func (env *environment) setPoison(text string) {
	for _, id := range env.targetIDs() {
		env.targets[id].SetPoison(text)
	}
}

func (env *environment) targetIDs() []model.TargetID {
	var ids []model.TargetID
	for id := range env.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
