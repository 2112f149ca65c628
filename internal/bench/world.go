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
	// maxCapacity in queries per second bounds the real time of a run: a deployment with more slots gets a longer
	// service time, so that its targets are as busy at a lower rate.
	maxCapacity = 800
	// meanServiceFactor is the mean service time as a multiple of the median, see target.Config.ServiceTime.
	meanServiceFactor = 1.22
	firstVersion      = 7
	maxBenchHosts     = 6
)

// Names of the callers of the bench.
const (
	callerFast     model.CallerID = "fast"
	callerFull     model.CallerID = "full"
	callerCareless model.CallerID = "careless"
	callerPoison   model.CallerID = "poison"
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

// world holds the stand-ins of one run.
type world struct {
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

func newWorld(d deployment.Deployment, s Scenario, seed uint64) (*world, error) {
	catalogue := d.Catalogue("10.0.0.1", 20000)
	catalogue.Generation = 1
	w := &world{
		deployment: d,
		store:      platform.NewStore(),
		network:    memnet.New(),
		rng:        rand.New(rand.NewPCG(seed, 2)),
		start:      time.Now(),
	}
	catalogue.Callers = callers(catalogue, w.capacity(catalogue), s)
	w.catalogue = catalogue
	w.targets = fleet.New(fleet.Config{
		Catalogue: catalogue, Version: firstVersion, ServiceTime: w.serviceTime(catalogue), Seed: seed,
	})
	w.addHosts()
	return w, control.Bootstrap(context.Background(), w.store, w.catalogue)
}

func (w *world) addHosts() {
	var records []hostlist.Record
	centres := w.deployment.DataCentres
	places := map[string]model.DataCentreID{}
	for i := range min(w.deployment.Hosts, maxBenchHosts) {
		centre := centres[i%len(centres)]
		id := model.HostID(fmt.Sprintf("host-%02d", i))
		address := fmt.Sprintf("10.1.0.%d", i+1)
		h := host{id, centre.ID, centre.Region, address + ":8080", address + ":8081", address + ":8082"}
		w.hosts = append(w.hosts, h)
		places[string(id)] = centre.ID
		records = append(records, hostlist.Record{
			ID: id, Address: h.peer, DataCentre: centre.ID, State: hostlist.Live,
		})
	}
	w.hostList = platform.NewHostList(records)
	between := milliseconds(w.deployment.DelayBetweenMS)
	toClients := milliseconds(w.deployment.DelayToClientsMS)
	w.network.Delay = func(from, to string) time.Duration {
		a, knownA := places[from]
		b, knownB := places[to]
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
func (w *world) serviceTime(catalogue model.Catalogue) time.Duration {
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

// capacity returns the number of queries per second that the targets of each search bear.
func (w *world) capacity(catalogue model.Catalogue) map[model.SearchID]float64 {
	slots := map[model.TargetID]int{}
	for _, t := range catalogue.Targets {
		slots[t.ID] = t.Slots
	}
	serviceTime := w.serviceTime(catalogue)
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
	if s.Careless {
		grants[callerCareless] = rate * carelessGrant
	}
	if s.Poison {
		grants[callerPoison] = rate * carelessGrant
	}
	var result []model.Caller
	for _, id := range []model.CallerID{callerFast, callerFull, callerCareless, callerPoison} {
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

// carelessGrant is the grant of the careless caller as a share of the capacity.
const carelessGrant = 0.1

// publishTimeout bounds the wait for the outcome of a change whose answer was lost.
const publishTimeout = 2 * time.Second

// publish accepts the world's catalogue as the next generation, as an operator does.
func (w *world) publish(edits []change.Edit) error {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	based := w.catalogue.Generation
	id := fmt.Sprintf("bench-%d", based+1)
	generation, err := control.Accept(ctx, w.store, change.Change{ID: id, BasedOn: based, Edits: edits})
	if err == nil {
		w.catalogue.Generation = generation
	}
	return err
}

// touchCatalogue publishes a new generation with the same content.
func (w *world) touchCatalogue() {
	w.change(w.catalogue)
}

// change publishes the next catalogue.
func (w *world) change(next model.Catalogue) {
	edits := change.Diff(&w.catalogue, &next)
	if len(edits) == 0 {
		first := change.Entries(&next, change.Caller)[0]
		edits = []change.Edit{{Op: change.Put, Kind: first.Kind, ID: first.ID, Value: first.Value}}
	}
	w.catalogue = next
	_ = w.publish(edits) // the store may be down or lose the answer, as the scenario wants
}

func (w *world) setDataCentreOut(out bool) {
	centre := outCentre(w.catalogue)
	next := cloneOut(w.catalogue)
	if out {
		w.outAt = time.Now()
		next.DataCentresOut = []model.DataCentreOut{{
			ID: centre, Reason: "bench", Since: w.catalogue.Generation + 1,
		}}
	} else {
		w.backAt = time.Now()
		w.turnColdIn(centre)
	}
	w.change(next)
}

func cloneOut(c model.Catalogue) model.Catalogue {
	c.DataCentresOut = nil
	return c
}

// turnColdIn makes every target of a data centre cold, as after its return.
func (w *world) turnColdIn(centre model.DataCentreID) {
	for _, t := range w.catalogue.Targets {
		if t.DataCentre == centre {
			w.targets[t.ID].TurnCold()
		}
	}
}

// slowDown makes one replica of every third group a straggler.
func (w *world) slowDown(factor float64) {
	for _, index := range w.catalogue.Indexes {
		for g, group := range index.Groups {
			if g%3 == 0 {
				w.targets[group.Targets[w.rng.IntN(len(group.Targets))]].SetSlowdown(factor)
			}
		}
	}
}

// turnCold makes one replica of every second group cold without a sign.
func (w *world) turnCold() {
	for _, index := range w.catalogue.Indexes {
		for g, group := range index.Groups {
			if g%2 == 0 {
				w.targets[group.Targets[w.rng.IntN(len(group.Targets))]].TurnCold()
			}
		}
	}
}

func (w *world) setPoison(text string) {
	for _, id := range w.targetIDs() {
		w.targets[id].SetPoison(text)
	}
}

func (w *world) targetIDs() []model.TargetID {
	var ids []model.TargetID
	for id := range w.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
