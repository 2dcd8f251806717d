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
	"github.com/azurepoint/azurepoint/entry/store"
)

// Wave is a planned maintenance as operators declared it.
type Wave struct {
	Number    int64
	Instances []string
	AtMost    int
	// Until is when the wave has to be over.
	Until time.Time
}

// WaveState is what operators are told of a wave.
type WaveState string

// States of a wave.
const (
	WaveRunning   WaveState = "running"
	WaveCompleted WaveState = "completed"
)

// WaveReports tell operators how waves go.
type WaveReports interface {
	Report(ctx context.Context, wave int64, state WaveState) (err error)
}

// Times of waves.
const (
	// waveInterval separates looks at the instances while a wave goes on.
	waveInterval = 400 * time.Millisecond
	// handoverMargin is added to the time after which another holder may give orders
	// for the same instance.
	handoverMargin = 500 * time.Millisecond
)

// wavePrefix holds what an owner has ordered for a wave, so that a later one
// knows which instances have had their upkeep.
const wavePrefix = "azurepoint/waves/"

// waveRecord is the stored progress of a wave.
type waveRecord struct {
	// Ordered are the instances whose upkeep may have been ordered, Done those for
	// which the platform has taken the order.
	Ordered   map[string]bool `json:"ordered"`
	Done      map[string]bool `json:"done"`
	Completed bool            `json:"completed,omitempty"`
}

// waveProgress is a wave with what is stored of it.
type waveProgress struct {
	wave     schedule.Wave
	record   waveRecord
	revision int64
	loaded   bool
	told     WaveState
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
			if m.stepWaves(ctx) {
				retry.Pause(ctx, waveInterval)
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

// stepWaves brings the open waves forward and tells whether any is open.
func (m *Manager) stepWaves(ctx context.Context) (open bool) {
	m.mu.Lock()
	declared := m.declared
	m.mu.Unlock()
	var waves []*waveProgress
	for _, d := range declared {
		p := m.progress(d)
		if p.told != WaveCompleted {
			waves = append(waves, p)
		}
	}
	if len(waves) == 0 {
		return false
	}
	if !m.Term.Confirmed() {
		return true
	}
	asked := time.Now()
	listed, err := m.Machines.List(ctx)
	if err != nil {
		event.InstanceListFailed.Log(log.Fields{"error": err.Error()})
		return true
	}
	sights := make([]schedule.InstanceSight, 0, len(listed))
	for _, i := range listed {
		sights = append(sights, schedule.InstanceSight{Name: i.Name, Pool: i.Pool, Endpoint: i.Endpoint, Up: i.Up})
	}
	for _, p := range waves {
		m.stepWave(ctx, p, sights, asked)
	}
	return true
}

// progress returns what is known of a declared wave.
func (m *Manager) progress(d Wave) *waveProgress {
	if p := m.waves[d.Number]; p != nil {
		return p
	}
	p := &waveProgress{wave: schedule.Wave{Number: d.Number, AtMost: d.AtMost, Until: d.Until, Away: m.Settings.UpkeepTime}}
	for _, name := range d.Instances {
		p.wave.Instances = append(p.wave.Instances, &schedule.WaveInstance{Name: name})
	}
	m.waves[d.Number] = p
	return p
}

// stepWave brings one wave forward.
func (m *Manager) stepWave(ctx context.Context, p *waveProgress, sights []schedule.InstanceSight, asked time.Time) {
	if !p.loaded {
		if err := m.loadWave(ctx, p); err != nil {
			event.RecordFailed.Log(log.Fields{"wave": p.wave.Number, "error": err.Error()})
			return
		}
	}
	p.wave.Observe(sights, asked)
	if p.record.Completed || p.wave.Complete() {
		m.completeWave(ctx, p)
		return
	}
	if p.told == "" {
		m.tell(ctx, p, WaveRunning)
	}
	m.mu.Lock()
	idle := m.scheduler.PlanWave(&p.wave, sights, time.Now())
	m.mu.Unlock()
	m.kick()
	for _, i := range p.wave.Instances {
		if i.Phase == schedule.Reserved && i.Runs > 0 {
			event.InstanceReserved.Log(log.Fields{"wave": p.wave.Number, "instance": i.Name, "runs": i.Runs, "lasting": i.Lasting})
		}
	}
	names := make([]string, 0, len(idle))
	idle = slices.DeleteFunc(idle, func(i *schedule.WaveInstance) bool { return m.orders.blocked(i.Name) })
	for _, i := range idle {
		names = append(names, i.Name)
	}
	if len(idle) == 0 || !m.orders.announce(ctx, m.Store, names) {
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
		m.orderUpkeep(ctx, p, i)
	}
}

// orderUpkeep takes an idle instance away.
func (m *Manager) orderUpkeep(ctx context.Context, p *waveProgress, i *schedule.WaveInstance) {
	if !m.Term.Confirmed() {
		return
	}
	wave := p.wave.Number
	i.Phase, i.OrderedAt = schedule.Ordered, time.Now()
	answer, err := m.Machines.Upkeep(ctx, MachineCall{Instance: i.Name, Holder: m.Holder, Fence: m.Term.Number, Wave: wave})
	fields := log.Fields{"wave": wave, "instance": i.Name, "endpoint": i.Endpoint, "term": m.Term.Number, "answer": answer.String()}
	if err != nil {
		fields["error"] = err.Error()
	}
	switch answer {
	case MachineDone:
		i.Confirmed = true
		p.record.Done[i.Name] = true
		event.MaintenanceOrdered.Log(fields)
		m.gone(i.Endpoint)
		return
	case MachineUnknown:
	case MachineFenced:
		m.lose()
	case MachineBusy, MachineRefused, MachineLimited:
		i.Phase = schedule.Waiting
		m.mu.Lock()
		m.scheduler.Release(i.Endpoint)
		m.mu.Unlock()
	}
	event.MaintenanceRefused.Log(fields)
}

// loadWave reads what earlier owners ordered.
func (m *Manager) loadWave(ctx context.Context, p *waveProgress) (err error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	item, found, err := m.Store.Get(ctx, waveKey(p.wave.Number))
	if err != nil {
		return err
	}
	if found {
		if err = json.Unmarshal(item.Value, &p.record); err != nil {
			return err
		}
		p.revision = item.Revision
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
			i.Phase, i.Confirmed, i.OrderedAt = schedule.Ordered, true, time.Now()
		case p.record.Ordered[i.Name]:
			// The order may still be carried out. A new one, which is answered as done if
			// it was, settles that.
			i.Phase = schedule.Reserved
		}
	}
	p.loaded = true
	event.WaveStarted.Log(log.Fields{
		"wave": p.wave.Number, "instances": len(p.wave.Instances), "ordered": len(p.record.Ordered), "atMost": p.wave.AtMost, "until": p.wave.Until,
	})
	return nil
}

// storeWave stores what is ordered, under the condition that this owner's term
// lasts.
func (m *Manager) storeWave(ctx context.Context, p *waveProgress) (err error) {
	value, err := json.Marshal(p.record)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	key := waveKey(p.wave.Number)
	revision, err := m.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{m.Term.Owner, {Key: key, Revision: p.revision}},
		Puts:       []store.Put{{Key: key, Value: value}},
	})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		if conflict.Current[m.Term.Owner.Key].Revision != m.Term.Owner.Revision {
			m.lose()
		}
		p.revision = conflict.Current[key].Revision
		if slices.Equal(conflict.Current[key].Value, value) {
			return nil
		}
	}
	if err == nil {
		p.revision = revision
	}
	return err
}

// completeWave tells that all instances have had their upkeep.
func (m *Manager) completeWave(ctx context.Context, p *waveProgress) {
	if !p.record.Completed {
		p.record.Completed = true
		if err := m.storeWave(ctx, p); err != nil {
			p.record.Completed = false
			return
		}
		event.WaveCompleted.Log(log.Fields{"wave": p.wave.Number, "until": p.wave.Until})
	}
	m.tell(ctx, p, WaveCompleted)
}

func (m *Manager) tell(ctx context.Context, p *waveProgress, state WaveState) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := m.Reports.Report(ctx, p.wave.Number, state); err != nil {
		event.RecordFailed.Log(log.Fields{"wave": p.wave.Number, "state": string(state), "error": err.Error()})
		return
	}
	p.told = state
}

func waveKey(number int64) string {
	return wavePrefix + strconv.FormatInt(number, 10)
}
