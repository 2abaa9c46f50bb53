package stormconf

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestErrors checks that an error names the line or the field of an invalid setting.
func TestErrors(t *testing.T) {
	for text, want := range map[string]string{
		"enabled = 1":                          "enabled",
		"enabled = true\ntargets = 0.1":        "targets",
		"[parts]\nwindows = true":              "windows",
		"target = 1.5":                         "target is 1.5",
		"target = nan":                         "target is NaN",
		"[pace]\nper_second = -1.0":            "pace.per_second is -1",
		"[pace]\nper_second = 5.0":             "pace.burst is needed",
		"[pace]\nwaiting = 5000":               "pace.waiting is 5000",
		"enabled = true\n[told\nlevel = false": "2|",
	} {
		_, err := Parse([]byte(text))
		require.ErrorContains(t, err, want, text)
	}
}

// TestLoad checks that the deployed file is valid, that a missing file disables storm protection, and that a part
// that the file does not name is on.
func TestLoad(t *testing.T) {
	f, err := Load("../../deploy/storm.toml")
	require.NoError(t, err)
	require.True(t, f.Config(1).Window)
	f, err = Load(filepath.Join(t.TempDir(), "none"))
	require.NoError(t, err)
	require.False(t, f.Enabled)
	f, err = Parse([]byte("enabled = true\n[parts]\nadvice = false"))
	require.NoError(t, err)
	c := f.Config(1)
	require.Equal(t, []bool{true, true, false, true, true}, []bool{c.Window, c.Budget, c.Advice, c.Callers, c.Cold})
}

// FuzzParse checks that no text makes Parse panic and that accepted values are within their bounds.
func FuzzParse(f *testing.F) {
	text, err := os.ReadFile("../../deploy/storm.toml")
	require.NoError(f, err)
	f.Add(text)
	f.Add([]byte("target = nan"))
	f.Fuzz(func(t *testing.T, text []byte) {
		x, err := Parse(text)
		if err == nil && !(x.Target >= 0 && x.Target <= 1 && x.Pace.PerSecond >= 0) {
			t.Fatalf("%+v", x)
		}
	})
}
