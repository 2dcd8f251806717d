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

// KeyLifetime lets a key that was issued an hour ahead carry the longest
// deadline. Longer would gain little, because a key ends with its home, and
// used keys are remembered until they expire.
const KeyLifetime = 2 * time.Hour

// site is where the keys of one order are at home.
type site struct {
	dataCentre string
	home       membership.Entry
	// backups are the entries that may be the backup; none if the home is the
	// only live entry of its data centre.
	backups []membership.Entry
}

// site chooses the home of keys for a pool: this entry, or an entry of another
// data centre if only that one has serving instances for the pool.
//
// A data centre with a single live entry goes on serving with keys that have no
// backup. If that entry ends, the outcome of every open request is unknown.
func (h *Handler) site(pool string) (s site, err error) {
	state := h.Fleet.State()
	if _, known := state.Pools[pool]; !known {
		return site{}, refusef(http.StatusBadRequest, "pool", "pool: %q does not exist", pool)
	}
	self := h.Peers.Self()
	serving := h.serving(state, pool)
	if slices.Contains(serving, self.DataCentre) {
		entries := staying(h.Peers.Live())
		home := self
		if self.Leaving && len(entries) > 0 {
			home = entries[h.nextTurn()%len(entries)]
		}
		return h.complete(home, entries), nil
	}
	turn := h.nextTurn()
	for i := range serving {
		entries := staying(h.Peers.Remote(serving[(turn+i)%len(serving)]))
		if len(entries) > 0 {
			return h.complete(entries[turn%len(entries)], entries), nil
		}
	}
	event.KeysWithoutPlace.Log(log.Fields{"pool": pool})
	return site{}, refusef(http.StatusServiceUnavailable, "pool", "pool: no reachable data centre has a serving instance for %q", pool)
}

func (h *Handler) complete(home membership.Entry, entries []membership.Entry) (s site) {
	s = site{dataCentre: home.DataCentre, home: home}
	for _, e := range entries {
		if e.Name != home.Name {
			s.backups = append(s.backups, e)
		}
	}
	if len(s.backups) == 0 {
		event.SingleCopyKeys.Log(log.Fields{"home": home.Name})
	}
	return s
}

func (h *Handler) issue(s site, expiresAt time.Time) (k register.Key) {
	k = register.Key{
		DataCentre:      s.dataCentre,
		Home:            s.home.Name,
		HomeIncarnation: s.home.Incarnation,
		ExpiresAt:       expiresAt,
		Sequence:        h.nextSequence(),
	}
	if len(s.backups) > 0 {
		backup := s.backups[h.nextTurn()%len(s.backups)]
		k.Backup, k.BackupIncarnation = backup.Name, backup.Incarnation
	}
	return k
}

// nextSequence counts upwards from a random start, so that two entries that
// issue keys for the same home do not use the same number.
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

func (h *Handler) nextTurn() (turn int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.turn++
	return h.turn
}

// places keeps which data centres serve which pool in one configuration.
type places struct {
	state   *fleet.State
	serving map[string][]string
}

// serving returns the data centres that have a serving instance of the pool or
// of a spare pool, by name.
func (h *Handler) serving(state *fleet.State, pool string) (dataCentres []string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.places.state != state {
		h.places = places{state: state, serving: servingPlaces(state)}
	}
	return h.places.serving[pool]
}

func servingPlaces(state *fleet.State) (serving map[string][]string) {
	serving = make(map[string][]string)
	add := func(pool, dataCentre string) {
		if !slices.Contains(serving[pool], dataCentre) {
			serving[pool] = append(serving[pool], dataCentre)
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
	for _, dataCentres := range serving {
		slices.Sort(dataCentres)
	}
	return serving
}

// staying returns the entries that are not about to stop.
func staying(entries []membership.Entry) (kept []membership.Entry) {
	for _, e := range entries {
		if !e.Leaving {
			kept = append(kept, e)
		}
	}
	return kept
}
