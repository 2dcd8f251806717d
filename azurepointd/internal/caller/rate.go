package caller

import (
	"net"
	"net/http"
	"sync"

	"golang.org/x/time/rate"
)

// maxAddresses limits the number of remote addresses that are tracked. When it is
// reached, all limiters are discarded, which allows every address one more burst.
const maxAddresses = 10_000

// LimitRate limits the calls per second of each remote address and answers those
// above the limit with status 429. Zero means no limit.
func LimitRate(next http.Handler, perSecond float64) http.Handler {
	if perSecond <= 0 {
		return next
	}
	limiter := &addressLimiter{perSecond: rate.Limit(perSecond), burst: max(1, int(perSecond))}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !limiter.allow(r.RemoteAddr) {
			w.Header().Set("Retry-After", "1")
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = w.Write([]byte(`{"message":"too many calls from this address; the request did not run"}`))
			return
		}
		next.ServeHTTP(w, r)
	})
}

type addressLimiter struct {
	perSecond rate.Limit
	burst     int

	mutex    sync.Mutex
	limiters map[string]*rate.Limiter
}

func (l *addressLimiter) allow(remoteAddr string) bool {
	host, _, err := net.SplitHostPort(remoteAddr)
	if err != nil {
		host = remoteAddr
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.limiters == nil || len(l.limiters) >= maxAddresses {
		l.limiters = make(map[string]*rate.Limiter)
	}
	if l.limiters[host] == nil {
		l.limiters[host] = rate.NewLimiter(l.perSecond, l.burst)
	}
	return l.limiters[host].Allow()
}
