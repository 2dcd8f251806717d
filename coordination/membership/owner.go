package membership

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Owner returns the live entry of a data centre that has a duty; entries that
// are leaving own nothing unless all are leaving.
func (v *View) Owner(dataCentre, duty string, now time.Time) (owner Entry, found bool) {
	live := v.Live(dataCentre, now)
	staying := make([]Entry, 0, len(live))
	for _, e := range live {
		if !e.Leaving {
			staying = append(staying, e)
		}
	}
	if len(staying) == 0 {
		staying = live
	}
	return Rendezvous(staying, duty)
}

// Rendezvous returns the candidate with the highest hash for the duty, so that
// a lost candidate moves only its own duties.
func Rendezvous(candidates []Entry, duty string) (owner Entry, found bool) {
	var highest uint64
	for _, e := range candidates {
		w := weight(e.Name, duty)
		if !found || w > highest {
			owner, highest, found = e, w, true
		}
	}
	return owner, found
}

func weight(name, duty string) uint64 {
	sum := sha256.Sum256([]byte(duty + "\x00" + name))
	return binary.BigEndian.Uint64(sum[:8])
}
