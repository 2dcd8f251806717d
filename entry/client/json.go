package client

// Memory of decoded JSON in bytes.
const (
	// objectBytes is what a step of a job takes once it is decoded and encoded again, and commaBytes an item
	// of a list or a field.
	objectBytes, commaBytes = 640, 16
	// textFactor is what the rest takes for each byte.
	textFactor = 6
	// stepDepth is the number of objects and lists around a step.
	stepDepth = 2
)

// DecodedBytes returns an upper bound of the memory that a job in JSON takes once it is decoded and encoded again.
func DecodedBytes(text []byte) int64 {
	objects, commas, depth := 0, 0, 0
	inString, escaped := false, false
	for _, b := range text {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped, inString = b == '\\', b != '"'
		case b == '"':
			inString = true
		case b == '{' || b == '[':
			if b == '{' && depth <= stepDepth {
				objects++
			}
			depth++
		case b == '}' || b == ']':
			depth--
		case b == ',':
			commas++
		}
	}
	return int64(objectBytes*objects + commaBytes*commas + textFactor*len(text))
}
