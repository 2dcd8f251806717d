// Package platform is a client of the platform's key-value service and of its list
// of live and leaving instances.
package platform
