package peer

import (
	"crypto/subtle"
	"net/http"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
)

const bearer = "Bearer "

// maxMessageBytes bounds a message between entries; a snapshot of the
// configuration is the largest one.
const maxMessageBytes = 64 << 20

// Handler serves the peer service to entries that present the secret.
func Handler(p peerrpc.Peer, secret string) http.Handler {
	server := peerrpc.NewPeerServer(p)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(given, []byte(bearer+secret)) != 1 {
			event.PeerRefused.Log(map[string]any{"remote": r.RemoteAddr})
			http.Error(w, "peer: wrong secret", http.StatusUnauthorized)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxMessageBytes)
		server.ServeHTTP(w, r)
	})
}

// Protocols returns what a listener of the peer service must accept.
func Protocols() *http.Protocols {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &p
}
