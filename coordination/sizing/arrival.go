package sizing

import (
	"math"
	"time"
)

// recurrenceWindow is how long an earlier burst counts: a pool whose bursts are further
// apart has given its instances to others in between.
const recurrenceWindow = 3 * errorWindow

// Arrival is the expected work of a job that arrives.
type Arrival struct {
	// Work is in thousandths of a core times seconds.
	Work float64
	// Lag is the mean time from the arrival of the job until its work is done, if it does not
	// wait, weighted by work.
	Lag time.Duration
	// Fill is the share of the CPU of an endpoint that tasks of this size fill, weighted by
	// work.
	Fill float64
	// Learned is set if the run times are known from finished runs.
	Learned bool
}

// RecordArrival adds a job with its expected work.
func (d *Demand) RecordArrival(a Arrival, now time.Time) {
	d.Record(a.Work, now)
	d.squaredWork += (a.Work*a.Work - d.squaredWork) / d.jobCount
	if !a.Learned {
		d.learned -= d.learned / d.jobCount
		return
	}
	d.learned += (1 - d.learned) / d.jobCount
	d.learnedWork = min(d.learnedWork+a.Work, d.meanWork*workMemory)
	if d.learnedWork > 0 {
		d.lag += (a.Lag.Seconds() - d.lag) * min(a.Work/d.learnedWork, 1)
		d.fill += (a.Fill - d.fill) * min(a.Work/d.learnedWork, 1)
	}
}

// Running is what the running tasks of a pool take.
type Running struct {
	// CPU is in thousandths of a core.
	CPU float64
	// Waiting is the CPU that the waiting tasks require.
	Waiting float64
	// Work is the work that is left of the running tasks and of the steps that follow them,
	// in thousandths of a core times seconds.
	Work float64
}

// Expect returns the forecast as of now from learned run times, or Forecast if they are not
// known. The CPU that a pool needs follows the arriving work with the lag of its jobs, and the
// running tasks end with the time that they have left: both are taken to be exponential.
func (d *Demand) Expect(r Running, now time.Time) (f Forecast) {
	if d.learned < 0.5 || d.lag <= 0 {
		return d.Forecast(now)
	}
	d.decay(now)
	f = Forecast{Learned: true, Fill: d.fill}
	level, slope := d.trend()
	horizon := moveTime.Seconds()
	ended := 1 - math.Exp(-horizon/d.lag)
	remains := 0.0
	if r.CPU > 0 && r.Work > 0 {
		remains = r.CPU * math.Exp(-horizon*r.CPU/r.Work)
	}
	f.CPU = remains + d.meanWork*(level*ended+slope*(horizon-d.lag*ended))
	// The work of the jobs that arrive varies, and so does the rate that is measured.
	varies := d.shortRate * d.squaredWork / (2 * d.lag) * (1 - math.Exp(-2*horizon/d.lag))
	measured := d.shortRate / (2 * shortWindow.Seconds()) * d.meanWork * d.meanWork * ended * ended
	f.Deviation = math.Sqrt(varies + measured)
	f.Error = d.compare(r.CPU+r.Waiting, f.CPU, now)
	return f
}

// compare keeps the forecast, and returns by how much demand has exceeded its forecasts
// in each of two bursts. The first burst after a while keeps nothing: the instances that it
// leaves serve other pools. A pool may shrink by any of the forecasts of the time that an
// instance takes to come back, so that the lowest of them counts.
func (d *Demand) compare(demand, forecast float64, now time.Time) (repeated float64) {
	d.made = append(d.made, madeForecast{at: now.Add(moveTime), cpu: forecast})
	for d.made[0].at.Before(now) {
		d.made = d.made[1:]
	}
	lowest := forecast
	for _, m := range d.made {
		lowest = min(lowest, m.cpu)
	}
	if demand > lowest {
		d.burst.peak = max(d.burst.peak, demand)
		d.burst.shortfall = max(d.burst.shortfall, demand-lowest)
	}
	if demand < d.burst.peak/2 {
		d.shortfall = max(d.shortfall, min(d.earlier, d.burst.shortfall))
		d.earlier, d.burst = d.burst.shortfall, burst{}
	}
	return d.shortfall
}

// burst is a rise of demand until it falls to half of its peak. Peak is its highest demand, and
// shortfall by how much that has exceeded the forecast, both in thousandths of a core.
type burst struct {
	peak, shortfall float64
}

// Fill returns the share of the CPU of an endpoint that tasks of a size fill among tasks of
// other sizes, which take half of what they leave.
func Fill(taskCPU, endpointCPU int) (share float64) {
	if taskCPU <= 0 || taskCPU > endpointCPU {
		return 1
	}
	return (1 + float64(endpointCPU/taskCPU*taskCPU)/float64(endpointCPU)) / 2
}
