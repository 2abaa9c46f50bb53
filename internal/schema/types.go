package schema

import (
	"cmp"
	"encoding/base64"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/openconfig/goyang/pkg/yang"
)

// pattern is a compiled XSD pattern. It has to match the whole value (RFC 7950, 9.4.5).
type pattern struct {
	text string
	re   *regexp.Regexp
}

// compilePattern translates an XSD regular expression to Go's syntax. Of the other differences between the two, only
// \i and \c occur in models; Go does not know them, so the pattern fails to compile with an error that names them.
func compilePattern(text string) (pattern, error) {
	// Outside brackets, ^ and $ are literals in XSD and anchors in Go.
	var b strings.Builder
	brackets := 0
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case c == '\\' && i+1 < len(text):
			b.WriteByte(c)
			i++
			b.WriteByte(text[i])
			continue
		case c == '[':
			brackets++
		case c == ']':
			brackets = max(0, brackets-1)
		case (c == '^' || c == '$') && brackets == 0:
			b.WriteByte('\\')
		}
		b.WriteByte(text[i])
	}
	re, err := regexp.Compile(`^(?:` + b.String() + `)$`)
	return pattern{text, re}, err
}

// compileType compiles the patterns of a type and its union members, and returns an error for unsupported types.
func (d *Def) compileType(t *yang.YangType) error {
	for _, p := range t.Pattern {
		c, err := compilePattern(p)
		if err != nil {
			return fmt.Errorf("schema: %s: pattern: %w", d, err)
		}
		d.patterns[t] = append(d.patterns[t], c)
	}
	switch t.Kind {
	case yang.Yint8, yang.Yint16, yang.Yint32, yang.Yint64, yang.Yuint8, yang.Yuint16, yang.Yuint32, yang.Yuint64,
		yang.Ydecimal64, yang.Ystring, yang.Ybool, yang.Yenum, yang.Yempty, yang.Ybinary, yang.Ybits, yang.Yleafref:
		return nil
	case yang.Yunion:
		for _, member := range t.Type {
			if member.Kind == yang.Yleafref {
				return fmt.Errorf("schema: %s: leafrefs in unions are not supported", d)
			}
			if err := d.compileType(member); err != nil {
				return err
			}
		}
		return nil
	}
	return fmt.Errorf("schema: %s: type %s is not supported", d, t.Name)
}

// Canonical checks a value of a leaf or leaf-list and returns its canonical form (RFC 7950, 9.1). Whether an instance
// with the value of a leafref exists is left to Validate.
func (d *Def) Canonical(text string) (string, error) {
	if d.leafrefTarget != nil {
		return d.leafrefTarget.Canonical(text)
	}
	out, err := d.canonicalForType(d.Type, text)
	if err != nil {
		return "", fmt.Errorf("%q is not a value of %s: %w", truncate(text), d.Name, err)
	}
	return out, nil
}

// canonicalForType checks a value against a type with its patterns, and returns its canonical form. The first matching
// member of a union applies.
func (d *Def) canonicalForType(t *yang.YangType, text string) (string, error) {
	if t.Kind == yang.Yunion {
		for _, member := range t.Type {
			if out, err := d.canonicalForType(member, text); err == nil {
				return out, nil
			}
		}
		return "", errors.New("no member of the union takes it")
	}
	out, err := canonicalBuiltin(t, text)
	if err != nil {
		return "", err
	}
	for _, p := range d.patterns[t] {
		if !p.re.MatchString(out) {
			return "", fmt.Errorf("it does not match %s", p.text)
		}
	}
	return out, nil
}

// truncate shortens a text that is quoted in an error to at most 64 bytes, followed by "...".
func truncate(text string) string {
	if len(text) > 64 {
		return strings.ToValidUTF8(text[:64], "") + "..."
	}
	return text
}

// errOutOfRange reports that a number, or the length of a value, is outside the range of its type.
var errOutOfRange = errors.New("outside the range")

// canonicalBuiltin checks a value against a built-in type with its range or length, and returns its canonical form.
func canonicalBuiltin(t *yang.YangType, text string) (string, error) {
	switch t.Kind {
	case yang.Yint8, yang.Yint16, yang.Yint32, yang.Yint64, yang.Yuint8, yang.Yuint16, yang.Yuint32, yang.Yuint64:
		n, err := yang.ParseInt(strings.TrimSpace(text))
		if err != nil {
			return "", errors.New("a whole number is needed")
		}
		return n.String(), checkRange(t.Range, n)
	case yang.Ydecimal64:
		n, err := yang.ParseDecimal(strings.TrimSpace(text), uint8(t.FractionDigits))
		if err != nil {
			return "", fmt.Errorf("a number with at most %d digits after the point is needed", t.FractionDigits)
		}
		return canonicalDecimal(n.String()), checkRange(t.Range, n)
	case yang.Ystring:
		if !utf8.ValidString(text) || strings.ContainsFunc(text, func(r rune) bool { return r < ' ' && r != '\t' && r != '\n' && r != '\r' }) {
			return "", errors.New("it holds characters that XML can't (RFC 7950, 9.4)")
		}
		return text, checkRange(t.Length, yang.FromInt(int64(utf8.RuneCountInString(text))))
	case yang.Ybool:
		if text != "true" && text != "false" {
			return "", errors.New("true or false is needed")
		}
		return text, nil
	case yang.Yenum:
		if text = strings.TrimSpace(text); !t.Enum.IsDefined(text) {
			return "", fmt.Errorf("one of %s is needed", strings.Join(t.Enum.Names(), ", "))
		}
		return text, nil
	case yang.Yempty:
		if text != "" {
			return "", errors.New("it has no value")
		}
		return "", nil
	case yang.Ybinary:
		b, err := base64.StdEncoding.DecodeString(strings.Join(strings.Fields(text), ""))
		if err != nil {
			return "", errors.New("base64 is needed")
		}
		return base64.StdEncoding.EncodeToString(b), checkRange(t.Length, yang.FromInt(int64(len(b))))
	case yang.Ybits: // in the order of their positions (RFC 7950, 9.7.2)
		names := strings.Fields(text)
		for i, n := range names {
			if !t.Bit.IsDefined(n) || slices.Contains(names[:i], n) {
				return "", fmt.Errorf("some of %s are needed, each once", strings.Join(t.Bit.Names(), ", "))
			}
		}
		slices.SortFunc(names, func(a, b string) int { return cmp.Compare(t.Bit.Value(a), t.Bit.Value(b)) })
		return strings.Join(names, " "), nil
	}
	return "", fmt.Errorf("type %s", t.Name)
}

// checkRange returns an error if n is outside a range. An empty range allows any number.
func checkRange(r yang.YangRange, n yang.Number) error {
	if len(r) > 0 && !r.Contains(yang.YangRange{{Min: n, Max: n}}) {
		return fmt.Errorf("%w %s", errOutOfRange, r)
	}
	return nil
}

// canonicalDecimal returns the canonical form of a decimal64: no trailing zeros, but at least one digit after the point
// (RFC 7950, 9.3.2).
func canonicalDecimal(text string) string {
	whole, fraction, _ := strings.Cut(text, ".")
	if fraction = strings.TrimRight(fraction, "0"); fraction == "" {
		fraction = "0"
	}
	return whole + "." + fraction
}
