package sizing

import (
	"math"
	"time"
)

const (
	// shortWindow and longWindow are the time constants of the two moving averages of
	// the job rate. Their difference shows how fast the rate rises.
	shortWindow = 400 * time.Millisecond
	longWindow  = 1200 * time.Millisecond
	// moveTime is the time from the order of a move to the first task on the instance.
	moveTime = 2 * time.Second
	// ForecastHorizon is how far ahead demand is forecast: an instance that is ordered now
	// takes its first task after moveTime. The short average lags by its
	// window.
	ForecastHorizon = moveTime + shortWindow
	// noiseVariance scales the variance that a rise of the rate is compared with: half a
	// standard deviation, because a job that waits for an instance costs its caller more than
	// an instance that waits for a job.
	noiseVariance = 0.25
	// errorWindow is how long an error of the forecast counts: an instance that leaves
	// and is required again within the time of two moves is better kept.
	errorWindow = 2 * moveTime
	// workMemory is the number of jobs over which the mean work of a job is averaged.
	workMemory = 32
)

// Demand estimates the work that arrives for a pool. The rate of jobs and the mean work
// of a job are averaged separately, because the work of a single job varies by an order of
// magnitude and is a poor estimate of that of the next.
type Demand struct {
	// shortRate and longRate are the jobs a second, averaged over shortWindow and
	// longWindow as of updatedAt.
	shortRate, longRate float64
	updatedAt           time.Time
	// meanWork is the mean work of a job, in thousandths of a core times seconds, over
	// jobCount jobs.
	meanWork, jobCount float64
	// squaredWork is the mean square of the work of a job. learned is the share of jobs whose
	// run times were known from finished runs, and lag and fill the means of the same fields of
	// their arrivals, weighted by work; learnedWork is the work that the means weigh.
	squaredWork, learned, lag, fill, learnedWork float64
	// made holds the forecasts whose time has not come, in order. shortfall is by how much
	// demand has exceeded its forecast, in thousandths of a core; it fades over errorWindow.
	made      []madeForecast
	shortfall float64
	// burst is the burst that lasts, and earlier the shortfall of the one before, which fades
	// over recurrenceWindow.
	burst   burst
	earlier float64
}

// madeForecast is a forecast of the arriving work at a time, in thousandths of a core.
type madeForecast struct {
	at  time.Time
	cpu float64
}

// Forecast is the arriving work, in thousandths of a core, at the time at which an
// instance that is ordered now takes its first task.
type Forecast struct {
	CPU float64
	// Error is by how much demand has recently exceeded its forecast.
	Error float64
	// Learned is set if run times are known from finished runs. Deviation is then the
	// standard deviation of the forecast, and Fill the share of an endpoint that tasks fill.
	Learned         bool
	Deviation, Fill float64
}

// Record adds a job with its expected work, in thousandths of a core times seconds.
func (d *Demand) Record(work float64, now time.Time) {
	d.decay(now)
	d.shortRate += 1 / shortWindow.Seconds()
	d.longRate += 1 / longWindow.Seconds()
	d.jobCount = min(d.jobCount+1, workMemory)
	d.meanWork += (work - d.meanWork) / d.jobCount
}

func (d *Demand) decay(now time.Time) {
	if elapsed := now.Sub(d.updatedAt); !d.updatedAt.IsZero() {
		d.shortRate *= math.Exp(-elapsed.Seconds() / shortWindow.Seconds())
		d.longRate *= math.Exp(-elapsed.Seconds() / longWindow.Seconds())
		d.shortfall *= math.Exp(-elapsed.Seconds() / errorWindow.Seconds())
		d.earlier *= math.Exp(-elapsed.Seconds() / recurrenceWindow.Seconds())
	}
	d.updatedAt = now
}

// Sustained returns the arriving work, in thousandths of a core, that both averages of the
// rate agree on.
func (d *Demand) Sustained(now time.Time) (cpu float64) {
	d.decay(now)
	return min(d.shortRate, d.longRate) * d.meanWork
}

// Forecast returns the forecast as of now, and compares the demand with the forecast that
// was made for this time.
func (d *Demand) Forecast(now time.Time) (f Forecast) {
	d.decay(now)
	for len(d.made) > 0 && !d.made[0].at.After(now) {
		d.shortfall = max(d.shortfall, d.shortRate*d.meanWork-d.made[0].cpu)
		d.made = d.made[1:]
	}
	f = Forecast{CPU: d.forecastRate() * d.meanWork, Error: d.shortfall}
	d.made = append(d.made, madeForecast{at: now.Add(ForecastHorizon), cpu: f.CPU})
	return f
}

// forecastRate returns the rate of jobs after ForecastHorizon.
func (d *Demand) forecastRate() float64 {
	level, slope := d.trend()
	return level + slope*(ForecastHorizon-shortWindow).Seconds()
}

// trend returns the rate of jobs and by how much it rises in a second. A rise is
// extrapolated as far as it exceeds the random variation of the rate; a fall is not, because
// an instance that leaves too early costs two moves.
func (d *Demand) trend() (level, slope float64) {
	difference := d.shortRate - d.longRate
	if difference <= 0 {
		return d.shortRate, 0
	}
	// This is the variance of an exponentially weighted rate of independent arrivals.
	variance := d.shortRate / (2 * shortWindow.Seconds())
	difference *= difference * difference / (difference*difference + noiseVariance*variance)
	slope = difference / (longWindow - shortWindow).Seconds()
	return d.longRate + difference + slope*shortWindow.Seconds(), slope
}
