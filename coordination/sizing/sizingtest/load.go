package sizingtest

import (
	"math"
	"math/rand"
	"time"
)

// Load is a load by name of four pools of 60 instances and a spare pool of 50. Jobs have eight
// tasks, each of which takes a fifth of an endpoint for a second on average.
type Load struct {
	Name    string
	Seconds float64
	// Cold is set if the load ends with the burst in which the first tasks run.
	Cold  bool
	Loads map[string]func(second float64) (rate float64)
	// Draw returns the run time of a task as a multiple of a second; nil means HeavyTail.
	Draw func(r *rand.Rand, pool string, second float64) (seconds float64)
}

// Loads are the loads that the sizes of pools are compared by.
func Loads() []Load {
	quiet := Constant(0.5)
	return []Load{
		{Name: "alternating bursts", Seconds: 48, Loads: byTurns(10), Draw: LogNormal},
		{Name: "burst from cold", Seconds: 16, Cold: true, Loads: map[string]func(float64) float64{"a": Wave(2, 10, 50), "b": quiet, "c": quiet, "d": quiet}},
		{Name: "heavy-tailed run times", Seconds: 48, Loads: byTurns(10)},
		{Name: "poisoned queue", Seconds: 40, Loads: map[string]func(float64) float64{"a": Constant(6), "b": Constant(6), "c": Constant(6), "d": quiet}, Draw: poisoned},
		{Name: "demand that stops", Seconds: 30, Loads: map[string]func(float64) float64{"a": Change(10, 50, 0), "b": Change(18, 25, 0), "c": quiet, "d": quiet}},
	}
}

// byTurns returns loads of four pools that each have a burst in turn.
func byTurns(seconds float64) map[string]func(float64) float64 {
	loads := make(map[string]func(float64) float64)
	for i, peak := range []float64{50, 62, 56, 50} {
		loads[string(rune('a'+i))] = Wave(3+seconds*float64(i), seconds, peak)
	}
	return loads
}

// NewModel returns a model with the load.
func (l Load) NewModel(seed int64) (m *Model) {
	m = New(60, 50, l.Loads)
	r := rand.New(rand.NewSource(seed))
	draw := l.Draw
	if draw == nil {
		draw = HeavyTail
	}
	m.Random, m.Width = r, 8
	m.Draw = func(pool string, second float64) Task {
		cpu := 200 * math.Exp(0.43*r.NormFloat64()-0.09)
		return Task{CPU: int(min(max(cpu, 20), 640)), Took: time.Duration(draw(r, pool, second) * float64(time.Second))}
	}
	return m
}

// LogNormal returns a run time with a standard deviation of half of its mean.
func LogNormal(r *rand.Rand, _ string, _ float64) (seconds float64) {
	return math.Exp(0.47*r.NormFloat64() - 0.11)
}

// HeavyTail returns a run time of which three in a hundred are seven times as long.
func HeavyTail(r *rand.Rand, pool string, second float64) (seconds float64) {
	seconds = LogNormal(r, pool, second) / 1.18
	if r.Float64() < 0.03 {
		seconds *= 7
	}
	return seconds
}

// poisoned returns run times of which those of one pool are ten times as long for some seconds.
func poisoned(r *rand.Rand, pool string, second float64) (seconds float64) {
	seconds = LogNormal(r, pool, second)
	if pool == "b" && second >= 10 && second < 14 {
		seconds *= 10
	}
	return seconds
}

// Result is what the runs of a load gave on average.
type Result struct {
	OnTime, Moves, PoolSeconds float64
}

// Play plays the load with seeds from 1 up. Learned and headroom are those of the model.
func (l Load) Play(seeds int, learned bool, headroom float64) (result Result) {
	for seed := range seeds {
		m := l.NewModel(int64(seed + 1))
		m.Learned, m.Headroom = learned, headroom
		m.Run(l.Seconds)
		result.OnTime += m.OnTimeShare() / float64(seeds)
		result.Moves += float64(len(m.Moves)) / float64(seeds)
		result.PoolSeconds += m.PoolSeconds / float64(seeds)
	}
	return result
}
