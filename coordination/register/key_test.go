package register

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testKey(sequence int64) Key {
	return Key{
		DataCentre: "dc1", Primary: "e1", PrimaryIncarnation: 5, Backup: "e2", BackupIncarnation: 7,
		ExpiresAt: time.UnixMilli(7_200_000), Sequence: sequence,
	}
}

// Every key must survive formatting and parsing, and a changed character must be
// detected: an altered key could name other entries, which would decide about the
// request a second time.
func TestKeyTextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := Key{
			DataCentre:         rapid.StringN(0, 8, 16).Draw(t, "dataCentre"),
			Primary:            rapid.StringN(1, 8, 16).Draw(t, "home"),
			PrimaryIncarnation: rapid.Int64().Draw(t, "homeIncarnation"),
			BackupIncarnation:  rapid.Int64().Draw(t, "backupIncarnation"),
			ExpiresAt:          time.UnixMilli(rapid.Int64Range(0, 1<<42).Draw(t, "expiry")),
			Sequence:           rapid.Int64().Draw(t, "sequence"),
		}
		k.Backup = k.Primary + "b"
		text := k.String()
		got, err := Parse(text)
		if err != nil || got != k {
			t.Fatalf("%q: %+v, %v, want %+v", text, got, err, k)
		}
		i := rapid.IntRange(0, len(text)-1).Draw(t, "altered")
		altered := text[:i] + string(text[i]^1) + text[i+1:]
		if _, err := Parse(altered); err == nil {
			t.Fatalf("altered key %q was accepted", altered)
		}
	})
}

// A caller can correct a malformed key only if the error names the wrong part.
func TestParseErrorsNameTheWrongPart(t *testing.T) {
	text := testKey(1).String()
	withChecksum := func(body string) string { return body + "." + checksum(body) }
	tests := []struct{ text, want string }{
		{"", "parts"},
		{text[:len(text)-3], "checksum"},
		{strings.Replace(text, "e1", "e3", 1), "checksum"},
		{"k9" + text[2:], "version"},
		{strings.Repeat("k", 300), "300 bytes"},
		{withChecksum("k1.dc1.e1.!.e2.7.0.1"), "home incarnation"},
		{withChecksum("k1.dc1.e_1.5.e2.7.0.1"), `home "e_1"`},
		{withChecksum("k1.dc1.e1.5.e2.7.x!.1"), "expiry"},
		{withChecksum("k1.dc1..5.e2.7.0.1"), "no home"},
		{withChecksum("k1.dc1.e1.5.e1.7.0.1"), "same entry"},
		{withChecksum("k1.dc1.e1.05.e2.7.0.1"), "not in the form"},
		{withChecksum("k1.dc1.e1.5.e2.7.0._41"), "sequence"},
	}
	for _, tt := range tests {
		if _, err := Parse(tt.text); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%q: %v, want %q", tt.text, err, tt.want)
		}
	}
}
