package peer

import (
	"crypto/subtle"
	"net/http"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
)

const bearerPrefix = "Bearer "

// maxMessageBytes limits a message between entries; the largest is a snapshot of
// the configuration.
const maxMessageBytes = 64 << 20

// Handler serves the peer service and refuses requests without the secret.
func Handler(p peerrpc.Peer, secret string) http.Handler {
	server := peerrpc.NewPeerServer(p)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		authorization := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(authorization, []byte(bearerPrefix+secret)) != 1 {
			event.PeerCallRefused.Log(map[string]any{"remote": r.RemoteAddr})
			http.Error(w, "peer: wrong secret", http.StatusUnauthorized)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxMessageBytes)
		server.ServeHTTP(w, r)
	})
}

// Protocols returns the HTTP protocols that a listener of the peer service must
// accept.
func Protocols() *http.Protocols {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &p
}
