package caller

import (
	"crypto/rand"
	"encoding/binary"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/membership"
	"github.com/azurepoint/azurepoint/coordination/register"
)

// DefaultKeyLifetime is MaxDeadline plus an hour, so that a key issued up to an
// hour before its use still allows the longest deadline. A longer lifetime gains
// little, because a key becomes unusable when its primary stops, and costs memory,
// because used keys are recorded until they expire.
const DefaultKeyLifetime = 2 * time.Hour

// keyEntries holds the entries that the keys of one order name.
type keyEntries struct {
	dataCentre string
	primary    membership.Entry
	// backups are the candidates for the backup; empty if the primary is the only
	// live entry of its data centre.
	backups []membership.Entry
}

// chooseEntries chooses the primary and the candidates for the backup of keys for a
// pool. The primary is this entry, or an entry of another data centre if only other
// data centres have serving instances for the pool.
//
// A data centre with a single live entry keeps serving with keys that have no
// backup. If that entry fails, the outcome of every open request is unknown.
func (h *Handler) chooseEntries(pool string) (chosen keyEntries, err error) {
	state := h.Fleet.State()
	if _, known := state.Pools[pool]; !known {
		return keyEntries{}, refusef(http.StatusBadRequest, "pool", "pool: %q does not exist", pool)
	}
	self := h.Peers.Self()
	serving := h.servingDataCentres(state, pool)
	if slices.Contains(serving, self.DataCentre) {
		entries := withoutLeaving(h.Peers.Live())
		primary := self
		if self.Leaving && len(entries) > 0 {
			primary = entries[h.nextRoundRobin()%len(entries)]
		}
		return h.withBackups(primary, entries), nil
	}
	start := h.nextRoundRobin()
	for i := range serving {
		entries := withoutLeaving(h.Peers.Remote(serving[(start+i)%len(serving)]))
		if len(entries) > 0 {
			return h.withBackups(entries[start%len(entries)], entries), nil
		}
	}
	event.NoKeysIssued.Log(log.Fields{"pool": pool})
	return keyEntries{}, refusef(http.StatusServiceUnavailable, "pool", "pool: no reachable data centre has a serving instance for %q", pool)
}

func (h *Handler) withBackups(primary membership.Entry, entries []membership.Entry) (chosen keyEntries) {
	chosen = keyEntries{dataCentre: primary.DataCentre, primary: primary}
	for _, e := range entries {
		if e.Name != primary.Name {
			chosen.backups = append(chosen.backups, e)
		}
	}
	if len(chosen.backups) == 0 {
		event.SingleCopyKeys.Log(log.Fields{"home": primary.Name})
	}
	return chosen
}

func (h *Handler) newKey(chosen keyEntries, expiresAt time.Time) (k register.Key) {
	k = register.Key{
		DataCentre:         chosen.dataCentre,
		Primary:            chosen.primary.Name,
		PrimaryIncarnation: chosen.primary.Incarnation,
		ExpiresAt:          expiresAt,
		Sequence:           h.nextSequence(),
	}
	if len(chosen.backups) > 0 {
		backup := chosen.backups[h.nextRoundRobin()%len(chosen.backups)]
		k.Backup, k.BackupIncarnation = backup.Name, backup.Incarnation
	}
	return k
}

// nextSequence counts upwards from a random start, so that two entries that issue
// keys for the same primary do not use the same sequence numbers.
func (h *Handler) nextSequence() (sequence int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.sequence == 0 {
		var start [8]byte
		_, _ = rand.Read(start[:])
		h.sequence = int64(binary.BigEndian.Uint64(start[:]) >> 2)
	}
	h.sequence++
	return h.sequence
}

func (h *Handler) nextRoundRobin() (next int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.roundRobin++
	return h.roundRobin
}

// servingIndex caches which data centres serve which pool in one configuration.
type servingIndex struct {
	state  *fleet.State
	byPool map[string][]string
}

// servingDataCentres returns the names of the data centres that have a serving
// instance of the pool or of a spare pool, sorted.
func (h *Handler) servingDataCentres(state *fleet.State, pool string) (dataCentres []string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.servingIndex.state != state {
		h.servingIndex = servingIndex{state: state, byPool: indexServing(state)}
	}
	return h.servingIndex.byPool[pool]
}

func indexServing(state *fleet.State) (byPool map[string][]string) {
	byPool = make(map[string][]string)
	add := func(pool, dataCentre string) {
		if !slices.Contains(byPool[pool], dataCentre) {
			byPool[pool] = append(byPool[pool], dataCentre)
		}
	}
	for _, i := range state.Instances {
		if i.Phase != fleet.Serving || i.Failed {
			continue
		}
		add(i.Pool, i.DataCentre)
		if state.Pools[i.Pool].Spare {
			for pool := range state.Pools {
				add(pool, i.DataCentre)
			}
		}
	}
	for _, dataCentres := range byPool {
		slices.Sort(dataCentres)
	}
	return byPool
}

// withoutLeaving returns the entries that have not begun a planned stop.
func withoutLeaving(entries []membership.Entry) (staying []membership.Entry) {
	for _, e := range entries {
		if !e.Leaving {
			staying = append(staying, e)
		}
	}
	return staying
}
