package config

import (
	"crypto/rand"
	"errors"
	"testing"

	"amaranthfork.example/fleet"
)

// Guards against withdrawn, unknown or mistyped keys that are accepted: a key gives
// access only to its own team, and none once it is withdrawn.
func TestAuthenticate(t *testing.T) {
	key, presented, err := NewKey(rand.Reader, "", "booking")
	if err != nil {
		t.Fatal(err)
	}
	id, secret, err := ParseKey(presented)
	if err != nil || id != key.ID {
		t.Fatalf("id %q, key id %q, error %v", id, key.ID, err)
	}
	base := Folder{"00000001-base.yaml": readBase(t), "00000002-key.yaml": KeyFile(key)}
	granted, findings := Build(base, 1)
	if findings != nil {
		t.Fatal(findings)
	}
	withdrawn, findings := Build(Apply(base, Change{Put: []File{{"00000003-key.yaml", KeyWithdrawnFile(id)}}}), 2)
	if findings != nil {
		t.Fatal(findings)
	}
	cases := []struct {
		name     string
		snapshot *Snapshot
		id       fleet.KeyID
		secret   string
		team     fleet.TeamName
	}{
		{"granted", granted, id, secret, "booking"},
		{"wrong secret", granted, id, secret[1:] + "x", ""},
		{"empty secret", granted, id, "", ""},
		{"secret of another key", granted, "k1", secret, ""},
		{"unknown id", granted, "nobody", secret, ""},
		{"withdrawn", withdrawn, id, secret, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			team, err := c.snapshot.Authenticate(c.id, c.secret)
			var refusal *fleet.Refusal
			if team != c.team || (c.team == "") != errors.As(err, &refusal) {
				t.Errorf("team %q, error %v", team, err)
			}
			if refusal != nil && refusal.Reason != fleet.ReasonUnauthorized {
				t.Errorf("reason %s", refusal.Reason)
			}
		})
	}
}

// Guards against presented keys that are split at the wrong place, and key ids with
// a '.', which could not be split from the secret.
func TestKeyForm(t *testing.T) {
	for _, presented := range []string{"", ".", "id", "id.", ".secret"} {
		if _, _, err := ParseKey(presented); err == nil {
			t.Errorf("%q was accepted as a presented key", presented)
		}
	}
	if id, secret, err := ParseKey("id.a.b"); err != nil || id != "id" || secret != "a.b" {
		t.Errorf("id %q, secret %q, error %v", id, secret, err)
	}
	if _, _, err := NewKey(rand.Reader, "a.b", "booking"); err == nil {
		t.Error("a key id with a dot was accepted")
	}
}
