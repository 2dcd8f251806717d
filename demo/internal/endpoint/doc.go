// Package endpoint reads from the stand-in endpoints what they really ran.
package endpoint
