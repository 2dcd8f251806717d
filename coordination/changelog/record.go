package changelog

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/platform"
)

const (
	recordPrefix = "azurepoint/log/"
	snapshotKey  = "azurepoint/snapshot"
	floorKey     = "azurepoint/floor"

	// indexDigits makes the order of the keys the order of the indexes.
	indexDigits = 20
	// blockRecords is how many records are read or watched at once: the keys
	// that differ in the last digit. Ten records of the largest size are within
	// the client's bound for an answer.
	blockRecords = 10
	// maxStateBytes bounds a decoded snapshot; 24,000 instances take 4 MB.
	maxStateBytes = 64 << 20
)

// ErrCorrupt means that a value in the service is not what any entry of this
// release writes; the state stays at the version before it.
var ErrCorrupt = errors.New("changelog: corrupt value")

// Record is one change in the form that is stored and relayed.
type Record struct {
	Index int64
	// Value is the JSON of a fleet.Change.
	Value []byte
}

// floor says which records may have been removed.
type floor struct {
	// Floor is the highest index whose record may be removed.
	Floor int64 `json:"floor"`
	// Snapshot is a version that the stored snapshot has at least.
	Snapshot int64 `json:"snapshot"`
	// Cleaned is the highest index below which all records were removed.
	Cleaned int64 `json:"cleaned"`
}

func recordKey(index int64) (key string) {
	return fmt.Sprintf("%s%0*d", recordPrefix, indexDigits, index)
}

// blockPrefix returns the common prefix of the keys of the block of an index.
func blockPrefix(index int64) (prefix string) {
	key := recordKey(index)
	return key[:len(key)-1]
}

func recordOf(e platform.Entry) (r Record, err error) {
	digits, found := strings.CutPrefix(e.Key, recordPrefix)
	index, err := strconv.ParseInt(digits, 10, 64)
	if !found || err != nil || recordKey(index) != e.Key {
		return Record{}, errors.Wrapf(ErrCorrupt, "key %.80q is not that of a record", e.Key)
	}
	return Record{Index: index, Value: e.Value}, nil
}

func encodeChange(c fleet.Change) (value []byte, err error) {
	if err = c.Check(); err != nil {
		return nil, err
	}
	if value, err = json.Marshal(c); err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	if len(value) > platform.MaxValueBytes {
		return nil, errors.Wrapf(platform.ErrTooLarge, "record has %d bytes, above %d", len(value), platform.MaxValueBytes)
	}
	return value, nil
}

// Change decodes the record; a field that this release does not know is an
// error, because skipping it would give this entry another state than others.
func (r Record) Change() (c fleet.Change, err error) {
	if err = decode(r.Value, &c); err != nil {
		return fleet.Change{}, errors.Wrapf(ErrCorrupt, "record %d: %v", r.Index, err)
	}
	if err = c.Check(); err != nil {
		return fleet.Change{}, errors.Wrapf(ErrCorrupt, "record %d: %v", r.Index, err)
	}
	return c, nil
}

// encodeState compresses, because a fleet of 24,000 instances is above the size
// of a value otherwise.
func encodeState(s *fleet.State) (value []byte, err error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err = json.NewEncoder(z).Encode(s); err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	if err = z.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	if b.Len() > platform.MaxValueBytes {
		return nil, errors.Wrapf(platform.ErrTooLarge, "snapshot has %d bytes, above %d", b.Len(), platform.MaxValueBytes)
	}
	return b.Bytes(), nil
}

func decodeState(value []byte) (s *fleet.State, err error) {
	z, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "snapshot: %v", err)
	}
	text, err := io.ReadAll(io.LimitReader(z, maxStateBytes))
	if err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "snapshot: %v", err)
	}
	s = &fleet.State{}
	if err = decode(text, s); err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "snapshot: %v", err)
	}
	return s, nil
}

func decodeFloor(value []byte) (f floor, err error) {
	if err = decode(value, &f); err != nil {
		return floor{}, errors.Wrapf(ErrCorrupt, "floor: %v", err)
	}
	return f, nil
}

// decode reads exactly one JSON value without unknown fields.
func decode(text []byte, into any) (err error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err = d.Decode(into); err != nil {
		return err
	}
	if _, err = d.Token(); err != io.EOF {
		return errors.New("more than one value")
	}
	return nil
}
