package manager

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/fault"
	"github.com/azurepoint/azurepoint/coordination/input"
	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/store"
)

// endpointGroups is in how many records the endpoints are stored. A new endpoint rewrites
// one of them, 8 KB with a thousand endpoints, and all of them fit in three transactions.
const endpointGroups = 32

// endpointRecords are the stored endpoints, in groups by a hash of the identifier. The zero
// value is ready to load.
type endpointRecords struct {
	groups [endpointGroups]ownedRecord
	// previous is the record of a release that stored all endpoints in one, until they are
	// stored in groups.
	previous ownedRecord
}

// groupOf returns the group of an endpoint.
func groupOf(id string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32() % endpointGroups)
}

// load returns the stored endpoints. A record that cannot be read is logged and left out.
func (r *endpointRecords) load(ctx context.Context, s store.Store) (endpoints []schedule.Endpoint, err error) {
	defer fault.Annotate(&err, "manager: load endpoints")
	items, _, err := s.Range(ctx, endpointsPrefix)
	if err != nil {
		return nil, err
	}
	r.previous = ownedRecord{key: endpointsPrefix}
	byKey := map[string]*ownedRecord{endpointsPrefix: &r.previous}
	for i := range r.groups {
		r.groups[i] = ownedRecord{key: fmt.Sprintf("%s/%02d", endpointsPrefix, i)}
		byKey[r.groups[i].key] = &r.groups[i]
	}
	for _, i := range items {
		if record := byKey[i.Key]; record != nil {
			record.revision = i.Revision
		}
		group, err := decodeEndpoints(i.Value)
		if err != nil {
			event.RecordInvalid.Log(log.Fields{"key": i.Key, "error": input.Excerpt(err)})
		}
		endpoints = append(endpoints, group...)
	}
	return endpoints, nil
}

// maxIDBytes bounds an endpoint's identifier; the store's keys are as long at most.
const maxIDBytes = 200

// decodeEndpoints returns the endpoints of a record that can be read, and the first error.
func decodeEndpoints(value []byte) (endpoints []schedule.Endpoint, err error) {
	var elements []json.RawMessage
	if err = json.Unmarshal(value, &elements); err != nil {
		return nil, err
	}
	for _, element := range elements {
		e, invalid := decodeEndpoint(element)
		if err == nil {
			err = invalid
		}
		if e.ID != "" {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints, err
}

// decodeEndpoint returns a stored endpoint, without identifier if that is invalid. Earlier
// releases stored what other writers had listed. Tasks may run there even if another field is
// invalid, so that the endpoint is kept without it.
func decodeEndpoint(element []byte) (e schedule.Endpoint, err error) {
	if err = json.Unmarshal(element, &e); err == nil {
		err = input.Name(e.ID, maxIDBytes)
	}
	if input.Name(e.ID, maxIDBytes) != nil {
		e.ID = ""
	}
	if e.Address != "" {
		if invalid := input.Address(e.Address); invalid != nil {
			e.Address, err = "", invalid
		}
	}
	for _, figure := range []*int{&e.Capacity.CPU, &e.Capacity.MemoryMB, &e.Capacity.GPU} {
		*figure = max(0, min(*figure, job.MaxFigure))
	}
	return e, err
}

// save stores groups of endpoints. Limit is the longest value that the store accepts.
func (r *endpointRecords) save(ctx context.Context, s store.Store, owner store.Condition, groups map[int][]schedule.Endpoint, limit int) (err error) {
	var writes []ownedWrite
	for i, endpoints := range groups {
		value, err := encodeEndpoints(endpoints, limit)
		if err != nil {
			return err
		}
		writes = append(writes, ownedWrite{ownedRecord: &r.groups[i], value: value})
	}
	for len(writes) > 0 {
		n, size := 1, len(writes[0].value)
		for n < min(maxOwnedWrites, len(writes)) && size+len(writes[n].value) <= maxCommitBytes {
			size += len(writes[n].value)
			n++
		}
		if err = saveOwned(ctx, s, owner, writes[:n]); err != nil {
			return err
		}
		writes = writes[n:]
	}
	return nil
}

// encodeEndpoints returns the stored form of a group. Labels, of which an endpoint may have many long ones, are left out
// if they make it longer than the store accepts: an owner reads them from the list again.
func encodeEndpoints(endpoints []schedule.Endpoint, limit int) (value []byte, err error) {
	value, err = json.Marshal(endpoints)
	if err != nil || len(value) <= limit {
		return value, err
	}
	short := slices.Clone(endpoints)
	for i := range short {
		short[i].Labels = nil
	}
	return json.Marshal(short)
}

// removePrevious removes the record of a previous release, whose endpoints are stored in
// groups.
func (r *endpointRecords) removePrevious(ctx context.Context, s store.Store, owner store.Condition) (err error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err = s.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{owner, {Key: r.previous.key, Revision: r.previous.revision}}, Removes: []string{r.previous.key},
	})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		if conflict.Current[owner.Key].Revision != owner.Revision {
			return errTermOver
		}
		// An earlier removal was executed without an answer.
		err = nil
	}
	if err == nil {
		r.previous.revision = 0
	}
	return err
}
