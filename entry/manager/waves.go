package manager

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/retry"
	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/event"
)

// Wave is a planned maintenance of instances as declared by operators.
type Wave struct {
	Number    int64
	Instances []string
	AtMost    int
	// Until is the deadline of the wave. It counts from when this entry read the declaration.
	Until time.Time
}

// WaveState is the progress of a wave as reported to operators.
type WaveState string

// States of a wave.
const (
	WaveRunning   WaveState = "running"
	WaveCompleted WaveState = "completed"
)

// WaveReports reports the progress of waves to operators.
type WaveReports interface {
	Report(ctx context.Context, wave int64, state WaveState) (err error)
}

// Intervals of waves.
const (
	// waveInterval is the time between reads of the instance list while a wave is
	// open.
	waveInterval = 400 * time.Millisecond
	// handoverMargin is added to the time after which another holder may order the
	// same instance.
	handoverMargin = 500 * time.Millisecond
)

// wavePrefix is the prefix of the stored wave records. A later owner reads from them
// which instances have had their maintenance.
const wavePrefix = "azurepoint/waves/"

// waveRecord is the stored progress of a wave.
type waveRecord struct {
	// Ordered are the instances whose maintenance may have been ordered, Done those
	// for which the platform has accepted the order.
	Ordered   map[string]bool `json:"ordered"`
	Done      map[string]bool `json:"done"`
	Completed bool            `json:"completed,omitempty"`
	// UntilMillis is the earliest deadline that an owner had.
	UntilMillis int64 `json:"untilMillis,omitempty"`
}

// waveProgress is a declared wave with its stored record.
type waveProgress struct {
	wave     schedule.Wave
	record   waveRecord
	stored   ownedRecord
	loaded   bool
	reported WaveState
}

// SetWaves replaces the declared waves.
func (m *Manager) SetWaves(declared []Wave) {
	m.mu.Lock()
	m.declared = declared
	m.mu.Unlock()
	select {
	case m.wavesChanged <- struct{}{}:
	default:
	}
}

// runWaves carries out maintenance waves until the context ends.
func (m *Manager) runWaves(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			if m.advanceWaves(ctx) {
				retry.Sleep(ctx, waveInterval)
				continue
			}
			select {
			case <-ctx.Done():
			case <-m.wavesChanged:
			}
		}
		ended <- nil
	}()
	return ended
}

// advanceWaves advances the open waves and reports whether any is open.
func (m *Manager) advanceWaves(ctx context.Context) (open bool) {
	m.mu.Lock()
	declared := m.declared
	m.mu.Unlock()
	var waves []*waveProgress
	for _, d := range declared {
		p := m.progressOf(d)
		if p.reported != WaveCompleted {
			waves = append(waves, p)
		}
	}
	if len(waves) == 0 {
		return false
	}
	if !m.Term.Confirmed() {
		return true
	}
	listedAt := time.Now()
	listed, err := m.Machines.List(ctx)
	if err != nil {
		event.InstanceListFailed.Log(log.Fields{"error": err.Error()})
		return true
	}
	instances := make([]schedule.InstanceObservation, 0, len(listed))
	for _, i := range listed {
		instances = append(instances, schedule.InstanceObservation{Name: i.Name, Pool: i.Pool, Endpoint: i.Endpoint, Up: i.Up, InMaintenance: i.InMaintenance})
	}
	for _, p := range waves {
		m.advanceWave(ctx, p, instances, listedAt)
	}
	return true
}

// progressOf returns the progress of a declared wave, and creates it if needed.
func (m *Manager) progressOf(d Wave) *waveProgress {
	if p := m.waves[d.Number]; p != nil {
		return p
	}
	p := &waveProgress{stored: ownedRecord{key: waveKey(d.Number)}, wave: schedule.Wave{Number: d.Number, MaxDown: d.AtMost, Deadline: d.Until, MaintenanceTime: m.Settings.MaintenanceTime}}
	for _, name := range d.Instances {
		p.wave.Instances = append(p.wave.Instances, &schedule.WaveInstance{Name: name})
	}
	m.waves[d.Number] = p
	return p
}

// advanceWave advances one wave: it observes the instances, reserves them, and orders
// the maintenance of idle ones.
func (m *Manager) advanceWave(ctx context.Context, p *waveProgress, instances []schedule.InstanceObservation, listedAt time.Time) {
	if !p.loaded {
		if err := m.loadWave(ctx, p); err != nil {
			event.RecordFailed.Log(log.Fields{"wave": p.wave.Number, "error": err.Error()})
			return
		}
	}
	p.wave.Observe(instances, listedAt)
	if p.record.Completed || p.wave.Complete() {
		m.completeWave(ctx, p)
		return
	}
	if p.reported == "" {
		m.reportWave(ctx, p, WaveRunning)
	}
	m.mu.Lock()
	idle := m.scheduler.PlanWave(&p.wave, instances, time.Now())
	urgent := m.scheduler.HasUrgentWrites()
	m.mu.Unlock()
	if urgent {
		m.recordWriter.trigger()
	}
	m.trigger()
	for _, i := range p.wave.Instances {
		if i.Phase == schedule.PhaseReserved && i.Runs > 0 {
			event.InstanceReserved.Log(log.Fields{"wave": p.wave.Number, "instance": i.Name, "runs": i.Runs, "lasting": i.LongRunningRuns})
		}
	}
	names := make([]string, 0, len(idle))
	idle = slices.DeleteFunc(idle, func(i *schedule.WaveInstance) bool { return m.orders.blocked(i.Name) })
	for _, i := range idle {
		names = append(names, i.Name)
	}
	if len(idle) == 0 || !m.orders.storeNames(ctx, m.Store, names) {
		return
	}
	for _, i := range idle {
		p.record.Ordered[i.Name] = true
	}
	if err := m.storeWave(ctx, p); err != nil {
		event.RecordFailed.Log(log.Fields{"wave": p.wave.Number, "error": err.Error()})
		return
	}
	for _, i := range idle {
		m.orderMaintenance(ctx, p, i)
	}
}

// orderMaintenance orders the maintenance of an instance if it is still idle: the orders follow
// each other, so that the last ones of many are sent seconds after the plan.
func (m *Manager) orderMaintenance(ctx context.Context, p *waveProgress, i *schedule.WaveInstance) {
	if !m.Term.Confirmed() {
		return
	}
	m.mu.Lock()
	may := m.scheduler.MayMaintain(i) && m.orders.renew(i.Name)
	m.mu.Unlock()
	if !may {
		m.cancelMaintenance(i)
		return
	}
	wave := p.wave.Number
	i.Phase, i.OrderedAt = schedule.PhaseOrdered, time.Now()
	answer, err := m.Machines.Maintain(ctx, InstanceOrder{Instance: i.Name, Holder: m.Holder, Fence: m.Term.Number, Wave: wave})
	fields := log.Fields{"wave": wave, "instance": i.Name, "endpoint": i.Endpoint, "term": m.Term.Number, "answer": answer.String()}
	if err != nil {
		fields["error"] = err.Error()
	}
	switch answer {
	case InstanceOrderDone:
		i.Confirmed = true
		p.record.Done[i.Name] = true
		event.MaintenanceOrdered.Log(fields)
		m.endpointEnded(i.Endpoint, schedule.LossReleased)
		return
	case InstanceOrderUnknown:
		i.UnansweredUntil = time.Now().Add(lateOrderTime)
	case InstanceOrderFenced:
		m.endTerm()
	case InstanceOrderBusy, InstanceOrderRefused, InstanceOrderLimited:
		m.cancelMaintenance(i)
	}
	event.MaintenanceRefused.Log(fields)
}

// cancelMaintenance returns an instance to service whose maintenance was not ordered or refused.
// While an earlier order may be carried out it stays reserved.
func (m *Manager) cancelMaintenance(i *schedule.WaveInstance) {
	if time.Now().Before(i.UnansweredUntil) {
		i.Phase = schedule.PhaseReserved
		return
	}
	i.Phase = schedule.PhaseWaiting
	m.mu.Lock()
	defer m.mu.Unlock()
	m.scheduler.CancelMaintenance(i.Endpoint)
}

// loadWave reads which instances previous owners have ordered, and the deadline of the wave.
func (m *Manager) loadWave(ctx context.Context, p *waveProgress) (err error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	value, found, err := p.stored.load(ctx, m.Store)
	if err != nil {
		return err
	}
	if found {
		if err = json.Unmarshal(value, &p.record); err != nil {
			// The orders are repeated: the platform answers done for those that it has
			// carried out.
			event.RecordInvalid.Log(log.Fields{"key": p.stored.key, "error": err.Error()})
			p.record = waveRecord{}
		}
	}
	if p.record.Ordered == nil {
		p.record.Ordered = make(map[string]bool)
	}
	if p.record.Done == nil {
		p.record.Done = make(map[string]bool)
	}
	for _, i := range p.wave.Instances {
		switch {
		case p.record.Done[i.Name]:
			i.Phase, i.Confirmed, i.OrderedAt = schedule.PhaseOrdered, true, time.Now()
		case p.record.Ordered[i.Name]:
			// The order may still be carried out. It is repeated: the platform
			// answers done if it has already carried out the first one.
			i.Phase, i.OrderInherited, i.UnansweredUntil = schedule.PhaseReserved, true, time.Now().Add(lateOrderTime)
		}
	}
	if p.keepDeadline() && !p.record.Completed {
		if e := m.storeWave(ctx, p); e != nil {
			// The next write of the record has the deadline too.
			event.RecordFailed.Log(log.Fields{"wave": p.wave.Number, "error": e.Error()})
		}
	}
	p.loaded = true
	event.WaveStarted.Log(log.Fields{
		"wave": p.wave.Number, "instances": len(p.wave.Instances), "ordered": len(p.record.Ordered), "atMost": p.wave.MaxDown, "until": p.wave.Deadline,
	})
	return nil
}

// keepDeadline gives the wave the deadline of its record if that is earlier, or otherwise the
// record that of the wave, and reports whether the record has changed. Operators declare how long
// a wave may take, so that an entry which started after the declaration has a deadline that is
// too late.
func (p *waveProgress) keepDeadline() (changed bool) {
	recorded := time.UnixMilli(p.record.UntilMillis)
	if p.record.UntilMillis != 0 && !p.wave.Deadline.Before(recorded) {
		// The deadline then counts by the monotonic clock.
		now := time.Now()
		p.wave.Deadline = now.Add(recorded.Sub(now))
		return false
	}
	p.record.UntilMillis = p.wave.Deadline.UnixMilli()
	return true
}

// storeWave stores the record of a wave under the condition that the term lasts.
func (m *Manager) storeWave(ctx context.Context, p *waveProgress) (err error) {
	value, err := json.Marshal(p.record)
	if err != nil {
		return err
	}
	return m.endTermIfOver(p.stored.save(ctx, m.Store, m.Term.Owner, value))
}

// endTermIfOver ends the term if a write showed that another owner has taken over, and
// returns the error of the write.
func (m *Manager) endTermIfOver(err error) error {
	if errors.Is(err, errTermOver) {
		m.endTerm()
	}
	return err
}

// completeWave records and reports that all instances have had their maintenance.
func (m *Manager) completeWave(ctx context.Context, p *waveProgress) {
	if !p.record.Completed {
		p.record.Completed = true
		if err := m.storeWave(ctx, p); err != nil {
			p.record.Completed = false
			return
		}
		event.WaveCompleted.Log(log.Fields{"wave": p.wave.Number, "until": p.wave.Deadline})
	}
	m.reportWave(ctx, p, WaveCompleted)
}

func (m *Manager) reportWave(ctx context.Context, p *waveProgress, state WaveState) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := m.Reports.Report(ctx, p.wave.Number, state); err != nil {
		event.RecordFailed.Log(log.Fields{"wave": p.wave.Number, "state": string(state), "error": err.Error()})
		return
	}
	p.reported = state
}

func waveKey(number int64) string {
	return wavePrefix + strconv.FormatInt(number, 10)
}
