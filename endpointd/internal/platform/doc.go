// Package platform registers the endpoint in the instance list of the platform
// through the published Consul agent API.
package platform
