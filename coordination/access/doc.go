// Package access decides how an entry answers requests that need the key of an
// organisation: which organisation a key identifies, and whether the entry's view of the
// keys is recent enough to rely on. It does no I/O.
//
// # Removed keys
//
// A removed key has to be out of use everywhere within a bound that counts from the
// acknowledgement of its removal, also at entries that are cut off. An entry therefore
// records when the call was sent that last confirmed its view: every removal that was
// acknowledged before that moment is part of the view. A request is served until the bound
// has passed since then, because a removal that the view lacks was acknowledged later and
// the request was sent before it is checked. After that the entry serves no request that
// needs a key until a call confirms its view again. Time is the time since boot, so that a
// process that was suspended reads how old its view is.
//
// The bound of an entry that has lost its source counts from the last call before the
// loss, which was sent up to two intervals between confirmations before. The interval is a
// sixth of the bound, so that callers are served for at least three fifths of it after a
// loss.
package access
