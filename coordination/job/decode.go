package job

import (
	"strconv"

	"github.com/go-faster/jx"

	"github.com/azurepoint/azurepoint/coordination/input"
)

// decode parses the stored format of a record. A new owner decodes all records before it serves,
// and encoding/json takes most of that time. Unlike encoding/json it takes names only in their
// own case and refuses null in a list; Encode writes neither of them. A field that is added to a type
// needs its case in the type's decode method.
func (r *Record) decode(value []byte, ranges *storedRanges) (err error) {
	d := jx.DecodeBytes(value)
	err = decodeFields(d, func(d *jx.Decoder, key string) error {
		switch key {
		case "state":
			return decodeText(d, &r.State)
		case "progress":
			return decodeList(d, &r.Progress, (*Progress).decode)
		case "doneTasks":
			return decodeText(d, &ranges.done)
		case "failedRuns":
			return decodeList(d, &ranges.failed, (*storedRuns).decode)
		case "droppedRuns":
			return decodeList(d, &ranges.dropped, (*storedRuns).decode)
		case "endedAt":
			return decodeNumber(d, &r.EndedAt)
		default:
			return r.Job.decode(d, key)
		}
	})
	if err != nil {
		return err
	}
	return input.End(d)
}

// decode parses the field with a key.
func (j *Job) decode(d *jx.Decoder, key string) error {
	switch key {
	case "id":
		return decodeText(d, &j.ID)
	case "queue":
		return decodeText(d, &j.Queue)
	case "pool":
		return decodeText(d, &j.Pool)
	case "spec":
		return decodeText(d, &j.Spec)
	case "steps":
		return decodeList(d, &j.Steps, (*Step).decode)
	case "startAt":
		return decodeNumber(d, &j.StartAt)
	case "repeat":
		return decodeNumber(d, &j.Repeat)
	case "intervalMillis":
		return decodeNumber(d, &j.IntervalMillis)
	case "accepted":
		return decodeNumber(d, &j.AcceptedAt)
	case "organisation":
		return decodeText(d, &j.Organisation)
	case "surplus":
		return decodeBool(d, &j.Surplus)
	case "advised":
		return decodeBool(d, &j.UsesPolicy)
	case "dataCentre":
		return decodeText(d, &j.DataCentre)
	case "confinedTerm":
		return decodeNumber(d, &j.ConfinedTerm)
	default:
		return j.Objective.decode(d, key)
	}
}

// decode parses the field with a key.
func (o *Objective) decode(d *jx.Decoder, key string) error {
	switch key {
	case "priority":
		return decodeNumber(d, &o.Priority)
	case "maxAttempts":
		return decodeNumber(d, &o.MaxAttempts)
	case "stretch":
		return decodeFraction(d, &o.Stretch)
	case "jobTargetMillis":
		return decodeNumber(d, &o.TargetMillis)
	default:
		return d.Skip()
	}
}

func (s *Step) decode(d *jx.Decoder, key string) error {
	switch key {
	case "count":
		return decodeNumber(d, &s.Count)
	case "cpu":
		return decodeNumber(d, &s.CPU)
	case "memoryMb":
		return decodeNumber(d, &s.MemoryMB)
	case "gpu":
		return decodeNumber(d, &s.GPU)
	case "estimateMillis":
		return decodeNumber(d, &s.EstimateMillis)
	case "after":
		return decodeNumbers(d, &s.DependsOn)
	case "keepCheckpoints":
		return decodeBool(d, &s.KeepCheckpoints)
	case "gang":
		return decodeBool(d, &s.Gang)
	case "sameRack":
		return decodeBool(d, &s.SameRack)
	case "requires":
		return decodeText(d, &s.RequiredLabel)
	case "dataRack":
		return decodeText(d, &s.DataRack)
	case "antiAffinity":
		return decodeNumber(d, &s.AntiAffinity)
	case "allowDuplicates":
		return decodeBool(d, &s.AllowDuplicates)
	case "longRunning":
		return decodeBool(d, &s.LongRunning)
	case "image":
		return decodeText(d, &s.Image)
	case "targetMillis":
		return decodeNumber(d, &s.TargetMillis)
	case "fills":
		return decodeBool(d, &s.BestEffort)
	case "mayMiss":
		return decodeNumber(d, &s.MaxUnavailable)
	default:
		return d.Skip()
	}
}

func (p *Progress) decode(d *jx.Decoder, key string) error {
	switch key {
	case "occurrence":
		return decodeNumber(d, &p.Occurrence)
	case "step":
		return decodeNumber(d, &p.Step)
	case "done":
		return decodeNumbers(d, &p.Done)
	case "failures":
		return decodeByTask(d, &p.Failures, decodeNumbers)
	case "dropped":
		return decodeByTask(d, &p.Dropped, func(d *jx.Decoder, dropped *Dropped) error {
			return decodeFields(d, func(d *jx.Decoder, key string) error { return dropped.decode(d, key) })
		})
	case "crashes":
		return decodeByTask(d, &p.Crashes, func(d *jx.Decoder, crashes *[]Crash) error {
			return decodeList(d, crashes, (*Crash).decode)
		})
	default:
		return d.Skip()
	}
}

func (c *Dropped) decode(d *jx.Decoder, key string) error {
	switch key {
	case "count":
		return decodeNumber(d, &c.Count)
	case "last":
		return decodeNumber(d, &c.Last)
	default:
		return d.Skip()
	}
}

func (c *Crash) decode(d *jx.Decoder, key string) error {
	switch key {
	case "run":
		return decodeNumber(d, &c.Run)
	case "endpoint":
		return decodeText(d, &c.Endpoint)
	case "incarnation":
		return decodeNumber(d, &c.Incarnation)
	case "instance":
		return decodeText(d, &c.Instance)
	case "confirmed":
		return decodeBool(d, &c.Confirmed)
	case "started":
		return decodeBool(d, &c.Started)
	case "reached":
		return decodeBool(d, &c.Reached)
	case "silent":
		return decodeBool(d, &c.Silent)
	case "atStart":
		return decodeBool(d, &c.AtStart)
	case "sole":
		return decodeBool(d, &c.Sole)
	default:
		return d.Skip()
	}
}

// decodeFields passes the fields of an object that are not null to a function.
func decodeFields(d *jx.Decoder, field func(d *jx.Decoder, key string) error) error {
	return d.ObjBytes(func(d *jx.Decoder, key []byte) error {
		if d.Next() == jx.Null {
			return d.Null()
		}
		return field(d, string(key))
	})
}

func decodeText[T ~string](d *jx.Decoder, into *T) error {
	text, err := d.Str()
	*into = T(text)
	return err
}

func decodeNumber[T int | int64](d *jx.Decoder, into *T) error {
	number, err := d.Int64()
	*into = T(number)
	return err
}

// decodeFraction parses a number as encoding/json does; Decoder.Float64 may differ in the last bit.
func decodeFraction(d *jx.Decoder, into *float64) error {
	number, err := d.Num()
	if err != nil {
		return err
	}
	*into, err = strconv.ParseFloat(number.String(), 64)
	return err
}

func decodeBool(d *jx.Decoder, into *bool) (err error) {
	*into, err = d.Bool()
	return err
}

// decodeNumbers parses a list of numbers. Of a field that is given twice the last one counts.
func decodeNumbers(d *jx.Decoder, into *[]int) error {
	*into = nil
	return d.Arr(func(d *jx.Decoder) error {
		number, err := d.Int()
		*into = append(*into, number)
		return err
	})
}

// decodeList parses a list of objects, each field of one by a function.
func decodeList[T any](d *jx.Decoder, into *[]T, field func(element *T, d *jx.Decoder, key string) error) error {
	*into = nil
	return d.Arr(func(d *jx.Decoder) error {
		var element T
		err := decodeFields(d, func(d *jx.Decoder, key string) error { return field(&element, d, key) })
		*into = append(*into, element)
		return err
	})
}

// decodeByTask parses an object with a value for each index of a task.
func decodeByTask[T any](d *jx.Decoder, into *map[int]T, decode func(d *jx.Decoder, into *T) error) error {
	*into = make(map[int]T)
	return decodeFields(d, func(d *jx.Decoder, key string) error {
		task, err := strconv.Atoi(key)
		if err != nil {
			return err
		}
		var value T
		if err = decode(d, &value); err != nil {
			return err
		}
		(*into)[task] = value
		return nil
	})
}
