package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"strings"

	"amaranthfork.example/fleet"
)

const (
	secretBytes = 32 // as long as the hash, so that the secret is as hard to guess as the hash
	saltBytes   = 16
	keyIDBytes  = 5
)

// NewKey makes a key for a team. It returns the key and the text that callers
// present, keyid.secret. If id is empty, one is chosen at random. random is a
// cryptographic source, normally crypto/rand.Reader. NewKey returns the errors of
// random, and an error if id is not valid.
func NewKey(random io.Reader, id fleet.KeyID, team fleet.TeamName) (fleet.Key, string, error) {
	buffer := make([]byte, secretBytes+saltBytes+keyIDBytes)
	if _, err := io.ReadFull(random, buffer); err != nil {
		return fleet.Key{}, "", fmt.Errorf("read random bytes for a key: %w", err)
	}
	secret := base64.RawURLEncoding.EncodeToString(buffer[:secretBytes])
	salt := buffer[secretBytes : secretBytes+saltBytes]
	if id == "" {
		id = fleet.KeyID("k-" + hex.EncodeToString(buffer[secretBytes+saltBytes:]))
	}
	if err := checkKeyID(string(id)); err != nil {
		return fleet.Key{}, "", err
	}
	key := fleet.Key{ID: id, Team: team, Salt: hex.EncodeToString(salt), Hash: hashSecret(salt, secret)}
	return key, string(id) + "." + secret, nil
}

// checkKeyID returns an error if a key cannot have the id. An id must not contain
// the '.' that separates it from the secret.
func checkKeyID(id string) error {
	if err := checkName(id); err != nil {
		return err
	}
	if strings.Contains(id, ".") {
		return fmt.Errorf("key id %q must not hold a '.'", id)
	}
	return nil
}

// hashSecret returns the hex form of SHA-256 over salt and secret.
func hashSecret(salt []byte, secret string) string {
	sum := sha256.Sum256(append(salt[:len(salt):len(salt)], secret...))
	return hex.EncodeToString(sum[:])
}

// ParseKey splits a presented key, keyid.secret, into the id and the secret. The
// error is a *fleet.Refusal with ReasonUnauthorized.
func ParseKey(presented string) (fleet.KeyID, string, error) {
	id, secret, found := strings.Cut(presented, ".")
	if !found || id == "" || secret == "" {
		return "", "", &fleet.Refusal{Reason: fleet.ReasonUnauthorized, Detail: "a key has the form keyid.secret"}
	}
	return fleet.KeyID(id), secret, nil
}

// VerifyKey reports whether the secret belongs to the key. It compares the hashes
// in constant time, so that its time reveals nothing about the right secret. It
// ignores Withdrawn.
func VerifyKey(key fleet.Key, secret string) bool {
	salt, err := hex.DecodeString(key.Salt)
	if err != nil {
		return false
	}
	return subtle.ConstantTimeCompare([]byte(hashSecret(salt, secret)), []byte(strings.ToLower(key.Hash))) == 1
}

// placeholderKey is verified in place of a key that does not exist, so that the
// time of the answer does not reveal whether a key id exists.
var placeholderKey = fleet.Key{Salt: strings.Repeat("00", saltBytes), Hash: strings.Repeat("00", sha256.Size)}

// Authenticate verifies a secret and returns the team of the key. The error is a
// *fleet.Refusal with ReasonUnauthorized if the key does not exist, the secret is
// wrong or the key is withdrawn.
func (s *Snapshot) Authenticate(id fleet.KeyID, secret string) (fleet.TeamName, error) {
	key, exists := s.Keys[id]
	if !exists {
		key = placeholderKey
	}
	if !VerifyKey(key, secret) || !exists {
		return "", &fleet.Refusal{Reason: fleet.ReasonUnauthorized, Detail: "the key does not exist or its secret is wrong"}
	}
	if key.Withdrawn {
		return "", &fleet.Refusal{Reason: fleet.ReasonUnauthorized, Detail: "the key has been withdrawn"}
	}
	return key.Team, nil
}
