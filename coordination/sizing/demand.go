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
	// forecastHorizon is how far ahead demand is forecast. The short average lags by its
	// window.
	forecastHorizon = moveTime + shortWindow
	// noiseVariance scales the variance that a rise of the rate is compared with: half a
	// standard deviation, because a job that waits for an instance costs its caller more than
	// an instance that waits for a job.
	noiseVariance = 0.25
	// workMemory is the number of jobs over which the mean work of a job is averaged.
	workMemory = 32
)

// Demand estimates the work that arrives for a pool. The rate of jobs and the mean work
// of a job are averaged separately, because the work of a single job varies by an order of
// magnitude and says little about that of the next.
type Demand struct {
	// shortRate and longRate are the jobs a second, averaged over shortWindow and
	// longWindow as of updatedAt.
	shortRate, longRate float64
	updatedAt           time.Time
	// meanWork is the mean work of a job, in thousandths of a core times seconds, over
	// jobCount jobs.
	meanWork, jobCount float64
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
	}
	d.updatedAt = now
}

// Forecast returns the arriving work, in thousandths of a core, at the time at which an
// instance that is ordered now takes its first task. Rising demand is extrapolated as far
// as the rise exceeds the random variation of the rate; falling demand is not, because an
// instance that leaves too early costs two moves.
func (d *Demand) Forecast(now time.Time) (cpu float64) {
	d.decay(now)
	difference := d.shortRate - d.longRate
	if difference <= 0 {
		return d.shortRate * d.meanWork
	}
	// This is the variance of an exponentially weighted rate of independent arrivals.
	variance := d.shortRate / (2 * shortWindow.Seconds())
	difference *= difference * difference / (difference*difference + noiseVariance*variance)
	rise := difference / (longWindow - shortWindow).Seconds()
	return (d.longRate + difference + rise*forecastHorizon.Seconds()) * d.meanWork
}
