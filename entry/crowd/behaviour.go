package crowd

import (
	"fmt"
	"io"
	"strings"
)

// Repeat writes a beginning once and then a part until a number of bytes is written.
func Repeat(beginning, part string, size int) func(w io.Writer) (err error) {
	block := part
	if len(part) < blockBytes {
		block = strings.Repeat(part, blockBytes/len(part))
	}
	return func(w io.Writer) (err error) {
		if _, err = io.WriteString(w, beginning); err != nil {
			return err
		}
		for sent := 0; sent < size; sent += len(block) {
			if _, err = io.WriteString(w, block); err != nil {
				return err
			}
		}
		return nil
	}
}

// blockBytes is the size of a write of repeated parts.
const blockBytes = 8 << 10

// Send writes a text.
func Send(text string) func(w io.Writer) (err error) {
	return func(w io.Writer) (err error) {
		_, err = io.WriteString(w, text)
		return err
	}
}

// SmallFields returns header fields of a total size, each with the shortest of names.
func SmallFields(size int) string {
	var b strings.Builder
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, "%s:\r\n", fieldName(n))
	}
	return b.String()
}

// fieldName returns the name of field n; different numbers have different names.
func fieldName(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	name := []byte{letters[n%26]}
	for n /= 26; n > 0; n /= len(letters) {
		name = append(name, letters[n%len(letters)])
	}
	return string(name)
}

// Post returns the head of a submission with a body of a size.
func Post(path, host, fields string, size int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n\r\n", path, host, fields, size)
}

// Chunked returns the head of a submission with a body in chunks.
func Chunked(path, host string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nTransfer-Encoding: chunked\r\n\r\n", path, host)
}

// Steps returns a job with a number of steps, each with the given JSON.
func Steps(step string, count int) string {
	return `{"steps":[` + strings.TrimSuffix(strings.Repeat(step+",", count), ",") + `]}`
}
