package fleettest

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// hexPrefix begins an encoding that is written in hexadecimal digits.
const hexPrefix = "0x"

var updateEncodings = flag.Bool("update-encodings", false, "write the golden files of CheckEncodings")

// CheckEncodings compares the encodings of values with a golden file in
// testdata, which holds a line for each: its name, and the encoding as text if it
// is JSON and in hexadecimal digits otherwise. The values are pointers, by name;
// every exported field is set first. The encoding in the file must also decode
// into the type of the value without loss, so that rows and messages of an
// earlier build stay readable. The flag -update-encodings writes the file.
func CheckEncodings(t *testing.T, file string, values map[string]any, marshal func(any) ([]byte, error), unmarshal func([]byte, any) error) {
	t.Helper()
	path := filepath.Join("testdata", file+".golden")
	encoded := map[string][]byte{}
	for name, value := range values {
		fill(reflect.ValueOf(value).Elem(), new(int))
		b, err := marshal(value)
		if err != nil {
			t.Fatalf("encode %s: %v", name, err)
		}
		encoded[name] = b
	}
	if *updateEncodings {
		writeEncodings(t, path, encoded)
	}
	golden := readEncodings(t, path)
	for _, name := range slices.Sorted(maps.Keys(golden)) {
		if _, ok := values[name]; !ok {
			t.Errorf("%s: %s is in the file and not checked", path, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		want, ok := golden[name]
		if !ok {
			t.Errorf("%s: %s is missing", path, name)
			continue
		}
		if got := encoded[name]; !bytes.Equal(got, want) {
			t.Errorf("%s: encoding has changed:\n got %q\nwant %q", name, got, want)
		}
		decoded := reflect.New(reflect.TypeOf(values[name]).Elem()).Interface()
		if err := unmarshal(want, decoded); err != nil {
			t.Errorf("decode %s: %v", name, err)
			continue
		}
		again, err := marshal(decoded)
		if err != nil {
			t.Errorf("encode decoded %s: %v", name, err)
		} else if !bytes.Equal(again, want) {
			t.Errorf("%s: decoding loses a field:\n got %q\nwant %q", name, again, want)
		}
	}
}

func readEncodings(t *testing.T, path string) map[string][]byte {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	encoded := map[string][]byte{}
	for i, line := range strings.Split(strings.TrimSpace(string(content)), "\n") {
		name, text, ok := strings.Cut(line, ": ")
		if !ok {
			t.Fatalf("%s:%d: want a name and an encoding", path, i+1)
		}
		b := []byte(text)
		if digits, ok := strings.CutPrefix(text, hexPrefix); ok {
			if b, err = hex.DecodeString(digits); err != nil {
				t.Fatalf("%s:%d: %v", path, i+1, err)
			}
		}
		encoded[name] = b
	}
	return encoded
}

func writeEncodings(t *testing.T, path string, encoded map[string][]byte) {
	t.Helper()
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(encoded)) {
		text := string(encoded[name])
		if !json.Valid(encoded[name]) {
			text = hexPrefix + hex.EncodeToString(encoded[name])
		}
		fmt.Fprintf(&b, "%s: %s\n", name, text)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

// fill sets v and all that it contains to values that differ from each other
// and are the same on each run. Maps and pointers get one element, slices two. An
// int64 behind a pointer gets the value that it would have without the pointer,
// since both are encoded alike.
func fill(v reflect.Value, n *int) {
	if v.Type() == reflect.TypeFor[*int64]() {
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
		return
	}
	*n++
	if _, ok := v.Interface().(time.Time); ok {
		v.Set(reflect.ValueOf(time.Unix(int64(*n), 0).UTC()))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", *n))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0), n)
		fill(v.Index(1), n)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n)
		fill(value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), n)
			}
		}
	default:
		panic(fmt.Sprintf("cannot fill a %s", v.Type()))
	}
}
