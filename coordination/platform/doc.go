// Package platform speaks to the platform's key-value service and reads its
// list of live and leaving instances.
package platform
