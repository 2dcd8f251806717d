// Package platform registers the endpoint in the platform's instance list, with
// the published Consul agent API.
package platform
