package subset

import (
	"math/rand/v2"
	"slices"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// ShuffledChunks assigns units by deterministically shuffled chunks, for comparison with Rendezvous. Hosts are numbered
// in order of their IDs. Each round covers as many hosts as there are chunks: it shuffles the units with its own seed
// and gives each host one chunk.
func ShuffledChunks(cfg Config, hosts []model.HostID, units []string) Assignment {
	result := make(Assignment, len(units))
	if len(hosts) == 0 || len(units) == 0 {
		return result
	}
	ordered := slices.Sorted(slices.Values(hosts))
	size := max(1, min(len(units), cfg.HostsPerUnit*len(units)/len(ordered)))
	chunks := max(1, len(units)/size)
	shuffled := slices.Sorted(slices.Values(units))
	for number, host := range ordered {
		if number%chunks == 0 {
			slices.Sort(shuffled)
			rng := rand.New(rand.NewPCG(uint64(number/chunks), 0))
			rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		}
		at := number % chunks * size
		for _, unit := range shuffled[at : at+size] {
			result[unit] = append(result[unit], host)
		}
	}
	return result
}
