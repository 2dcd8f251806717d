package register

import "time"

// keysPerChunk is the number of consecutive sequence numbers in a chunk. Each
// issuer of keys counts upwards, so that most chunks fill up.
const keysPerChunk = 512

// maxChunks limits the memory for used keys to about 4 MB.
const maxChunks = 1 << 15

// chunkID identifies a range of sequence numbers of one incarnation of an entry.
type chunkID struct {
	primary     string
	incarnation int64
	number      int64
}

// chunk is a bitmap of used keys. expiresAt is the latest expiry among them.
type chunk struct {
	bits      [keysPerChunk / 64]uint64
	expiresAt time.Time
}

// usedKeySet stores one bit per used key.
type usedKeySet struct {
	chunks map[chunkID]*chunk
}

// add marks a key as used. It returns false if the limit of chunks is reached.
func (u *usedKeySet) add(k Key) bool {
	id, word, bit := bitPosition(k)
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

func (u *usedKeySet) has(k Key) bool {
	id, word, bit := bitPosition(k)
	c, found := u.chunks[id]
	return found && c.bits[word]&bit != 0
}

// expire deletes chunks whose keys all expired before the given time.
func (u *usedKeySet) expire(before time.Time) {
	for id, c := range u.chunks {
		if c.expiresAt.Before(before) {
			delete(u.chunks, id)
		}
	}
}

// bitPosition returns the chunk of a key, and the word and bit of the key in it.
func bitPosition(k Key) (id chunkID, word int, bit uint64) {
	offset := uint64(k.Sequence) % keysPerChunk
	id = chunkID{primary: k.Primary, incarnation: k.PrimaryIncarnation, number: int64(uint64(k.Sequence) / keysPerChunk)}
	return id, int(offset / 64), 1 << (offset % 64)
}
