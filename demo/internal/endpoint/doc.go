// Package endpoint reads the history of executed tasks from the stand-in endpoints.
package endpoint
