package node

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/entry/manager"
)

// Bounds of the search for a successor.
const (
	// successorFanout is how many of the strongest entries get a request. Some may be cut off, or
	// have lost the store as well.
	successorFanout = 8
	// successorTimeout bounds the question, which takes a read of a slow store; entries that
	// have not answered successorWait after another one are passed over.
	successorTimeout = 400 * time.Millisecond
	successorWait    = 60 * time.Millisecond
)

// successor is an entry that may take over.
type successor struct {
	name, address string
	cores         float64
}

// findSuccessors returns the entries that answer that they may take over the term, the
// strongest first. Each has just read from the store that the term's key is unchanged, so that
// none answers while the store is unreachable for all.
func (n *Node) findSuccessors(ctx context.Context, t *heldTerm, minimum float64) (found []successor) {
	ctx, cancel := context.WithTimeout(ctx, successorTimeout)
	defer cancel()
	candidates := n.entries.strongest(n.Name, minimum, successorFanout)
	answers := make(chan *successor)
	for _, c := range candidates {
		go func() {
			if _, may, err := n.Peers.MayTakeOver(ctx, c.address, t.revision); err != nil || !may {
				answers <- nil
				return
			}
			answers <- &c
		}()
	}
	for range candidates {
		s := <-answers
		if s == nil {
			continue
		}
		if len(found) == 0 {
			// Ends the calls to the others.
			late := time.AfterFunc(successorWait, cancel)
			defer late.Stop()
		}
		found = append(found, *s)
	}
	slices.SortStableFunc(found, func(a, b successor) int { return cmp.Compare(b.cores, a.cores) })
	return found
}

// mayTakeOver reports whether this entry may take over from the owner whose key has a
// revision. It reads the key for each question: what it has read before may be outdated.
func (n *Node) mayTakeOver(ctx context.Context, revision int64) (reason string, may bool) {
	switch {
	case n.stopping.Load():
		return "stopping", false
	case n.configuration.Load() == nil:
		return "no configuration yet", false
	case n.ownership.owns():
		return "owns the pools itself", false
	}
	ctx, cancel := context.WithTimeout(ctx, successorTimeout)
	defer cancel()
	item, found, err := n.Store.Get(ctx, manager.OwnerKey)
	switch {
	case err != nil:
		return "the store does not answer", false
	case !found || item.Revision != revision:
		return "the owner has changed", false
	}
	return "", true
}

// strongest returns up to limit listed entries other than except that have at least so many
// cores, those with most cores first and equal ones in random order.
func (e *entries) strongest(except string, cores float64, limit int) (strong []successor) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, r := range e.listed {
		if name != except && r.Address != "" && r.Cores >= cores {
			strong = append(strong, successor{name: name, address: r.Address, cores: r.Cores})
		}
	}
	rand.Shuffle(len(strong), func(i, j int) { strong[i], strong[j] = strong[j], strong[i] })
	slices.SortStableFunc(strong, func(a, b successor) int { return cmp.Compare(b.cores, a.cores) })
	return strong[:min(limit, len(strong))]
}
