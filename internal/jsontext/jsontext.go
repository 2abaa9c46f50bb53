// Package jsontext encodes JSON strings.
package jsontext

// Append appends s to b as a JSON string that decodes to the same bytes, and returns the extended buffer. fastjson's
// own writer quotes as Go does (\x00, \a), which JSON parsers reject, so text with control characters would be lost.
// Bytes that are not valid UTF-8 are copied unchanged.
func Append[T string | []byte](b []byte, s T) []byte {
	const hex = "0123456789abcdef"
	b = append(b, '"')
	for i := range len(s) {
		switch ch := s[i]; {
		case ch == '"' || ch == '\\':
			b = append(b, '\\', ch)
		case ch == '\n':
			b = append(b, '\\', 'n')
		case ch == '\r':
			b = append(b, '\\', 'r')
		case ch < 0x20:
			b = append(b, '\\', 'u', '0', '0', hex[ch>>4], hex[ch&15])
		default:
			b = append(b, ch)
		}
	}
	return append(b, '"')
}
