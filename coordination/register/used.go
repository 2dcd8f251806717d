package register

import "time"

// chunkKeys is how many consecutive sequence numbers share a chunk; issuers
// count upwards, so that most chunks fill up.
const chunkKeys = 512

// maxChunks bounds the memory for used keys to about 4 MB.
const maxChunks = 1 << 15

type chunkID struct {
	home        string
	incarnation int64
	number      int64
}

type chunk struct {
	bits      [chunkKeys / 64]uint64
	expiresAt time.Time
}

// usedSet remembers with one bit each which keys were used.
type usedSet struct {
	chunks map[chunkID]*chunk
}

// add marks a key; it returns false when there is no room.
func (u *usedSet) add(k Key) bool {
	id, word, bit := place(k)
	c, found := u.chunks[id]
	if !found {
		if len(u.chunks) >= maxChunks {
			return false
		}
		if u.chunks == nil {
			u.chunks = make(map[chunkID]*chunk)
		}
		c = &chunk{}
		u.chunks[id] = c
	}
	c.bits[word] |= bit
	if k.ExpiresAt.After(c.expiresAt) {
		c.expiresAt = k.ExpiresAt
	}
	return true
}

func (u *usedSet) has(k Key) bool {
	id, word, bit := place(k)
	c, found := u.chunks[id]
	return found && c.bits[word]&bit != 0
}

// expire forgets the chunks all of whose keys expired before a time.
func (u *usedSet) expire(before time.Time) {
	for id, c := range u.chunks {
		if c.expiresAt.Before(before) {
			delete(u.chunks, id)
		}
	}
}

func place(k Key) (id chunkID, word int, bit uint64) {
	offset := uint64(k.Sequence) % chunkKeys
	id = chunkID{home: k.Home, incarnation: k.HomeIncarnation, number: int64(uint64(k.Sequence) / chunkKeys)}
	return id, int(offset / 64), 1 << (offset % 64)
}
