// Package jsontext writes JSON strings.
package jsontext

// Append writes a JSON string that a reader turns back into the same bytes. fastjson's own writer quotes as Go
// does (\x00, \a), which JSON readers refuse, so texts with control characters would be lost.
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
