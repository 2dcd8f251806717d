package membership

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Owner returns the live entry of a data centre to which a duty is assigned.
// Entries that are leaving get no duties unless all live entries are leaving.
func (v *View) Owner(dataCentre, duty string, now time.Time) (owner Entry, found bool) {
	live := v.Live(dataCentre, now)
	remaining := make([]Entry, 0, len(live))
	for _, e := range live {
		if !e.Leaving {
			remaining = append(remaining, e)
		}
	}
	if len(remaining) == 0 {
		remaining = live
	}
	return Rendezvous(remaining, duty)
}

// Rendezvous returns the candidate with the highest hash for the duty, so that
// removing a candidate reassigns only its own duties.
func Rendezvous(candidates []Entry, duty string) (owner Entry, found bool) {
	var highest uint64
	for _, e := range candidates {
		w := rendezvousWeight(e.Name, duty)
		if !found || w > highest {
			owner, highest, found = e, w, true
		}
	}
	return owner, found
}

func rendezvousWeight(name, duty string) uint64 {
	sum := sha256.Sum256([]byte(duty + "\x00" + name))
	return binary.BigEndian.Uint64(sum[:8])
}
