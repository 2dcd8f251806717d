package caller

import (
	"net"
	"net/http"
	"sync"

	"golang.org/x/time/rate"
)

// maxAddresses bounds the remembered remote addresses; beyond it all are
// forgotten, which lets each of them send one more burst.
const maxAddresses = 10_000

// LimitRate refuses calls of a remote address above a rate a second with status
// 429; zero means no limit.
func LimitRate(next http.Handler, perSecond float64) http.Handler {
	if perSecond <= 0 {
		return next
	}
	l := &rateLimit{perSecond: rate.Limit(perSecond), burst: max(1, int(perSecond))}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !l.allow(r.RemoteAddr) {
			w.Header().Set("Retry-After", "1")
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = w.Write([]byte(`{"message":"too many calls from this address; the request did not run"}`))
			return
		}
		next.ServeHTTP(w, r)
	})
}

type rateLimit struct {
	perSecond rate.Limit
	burst     int

	mutex    sync.Mutex
	limiters map[string]*rate.Limiter
}

func (l *rateLimit) allow(remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		host = remote
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
