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

	// indexDigits pads the index, so that keys sort in the order of their indexes.
	indexDigits = 20
	// blockRecords is the number of records that are read or watched at once: the
	// keys that differ in the last digit. Ten records of the largest size are
	// within the client's limit for a response.
	blockRecords = 10
	// maxStateBytes bounds a decoded snapshot; 24,000 instances take 4 MB.
	maxStateBytes = 64 << 20
)

// ErrCorrupt means that a value in the service does not have the form that entries
// of this release write; the state stays at the version before it.
var ErrCorrupt = errors.New("changelog: corrupt value")

// Record is a change in the form in which it is stored and relayed.
type Record struct {
	Index int64
	// Value is the JSON of a fleet.Change.
	Value []byte
}

// floor records how far the log may have been removed.
type floor struct {
	// Floor is the highest index whose record may be removed.
	Floor int64 `json:"floor"`
	// Snapshot is the lowest version that the stored snapshot can have.
	Snapshot int64 `json:"snapshot"`
	// Cleaned is the index up to which all records have been removed.
	Cleaned int64 `json:"cleaned"`
}

func recordKey(index int64) (key string) {
	return fmt.Sprintf("%s%0*d", recordPrefix, indexDigits, index)
}

// blockPrefix returns the common key prefix of the block that contains an index.
func blockPrefix(index int64) (prefix string) {
	key := recordKey(index)
	return key[:len(key)-1]
}

func parseRecord(e platform.Item) (r Record, err error) {
	digits, found := strings.CutPrefix(e.Key, recordPrefix)
	index, err := strconv.ParseInt(digits, 10, 64)
	if !found || err != nil || recordKey(index) != e.Key {
		return Record{}, errors.Wrapf(ErrCorrupt, "key %.80q is not a record key", e.Key)
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

// Change decodes the record. An unknown field is an error: if this entry skipped
// it, its state would differ from that of other entries.
func (r Record) Change() (c fleet.Change, err error) {
	if err = decodeJSON(r.Value, &c); err != nil {
		return fleet.Change{}, errors.Wrapf(ErrCorrupt, "record %d: %v", r.Index, err)
	}
	if err = c.Check(); err != nil {
		return fleet.Change{}, errors.Wrapf(ErrCorrupt, "record %d: %v", r.Index, err)
	}
	return c, nil
}

// encodeState compresses the state, because that of 24,000 instances would exceed
// the maximum size of a value.
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
	if err = decodeJSON(text, s); err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "snapshot: %v", err)
	}
	return s, nil
}

func decodeFloor(value []byte) (f floor, err error) {
	if err = decodeJSON(value, &f); err != nil {
		return floor{}, errors.Wrapf(ErrCorrupt, "floor: %v", err)
	}
	return f, nil
}

// decodeJSON decodes exactly one JSON value and refuses unknown fields.
func decodeJSON(text []byte, into any) (err error) {
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
