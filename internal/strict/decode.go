// Package strict decodes JSON that people write. Each error gives the path of the field.
//
// The package encoding/json silently accepts duplicate keys, matches field names in any case, and loses the path in its
// errors. Decode refuses what encoding/json accepts by default: unknown fields, field names in another case,
// duplicate keys, null where a value is required, and data after the value.
package strict

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"

	"amaranthstile/result"
)

// Kind is the kind of an error.
type Kind int

// The kinds of error.
const (
	// Syntax means that the input is not JSON.
	Syntax Kind = iota
	// UnknownField means that the type has no such field.
	UnknownField
	// Duplicate means that a key occurs twice in one object.
	Duplicate
	// Mismatch means that a value does not fit the type of its field.
	Mismatch
)

// Error describes invalid input. Path is the path of the field, or "" for the whole input.
type Error struct {
	Kind   Kind
	Path   string
	Reason string
	// Cause is the underlying error, or nil.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Path == "" {
		return e.Reason
	}
	return e.Path + ": " + e.Reason
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Decode reads one JSON value into v, a pointer. Its errors are of type *Error.
func Decode(data []byte, v any) error {
	w := &walker{d: json.NewDecoder(bytes.NewReader(data))}
	if err := w.value(reflect.TypeOf(v).Elem(), ""); err != nil {
		return err
	}
	if _, err := w.d.Token(); !errors.Is(err, io.EOF) {
		return &Error{Kind: Syntax, Reason: "unexpected data after the value"}
	}
	if err := json.Unmarshal(data, v); err != nil {
		return &Error{Kind: Syntax, Reason: err.Error(), Cause: err}
	}
	return nil
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// walker checks the input against a type by walking through both in parallel.
type walker struct{ d *json.Decoder }

func (w *walker) value(t reflect.Type, path string) error {
	nullable := t.Kind() == reflect.Pointer
	if nullable {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(textUnmarshaler) {
		return w.scalar(t, path, nullable)
	}
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return w.object(t, path, nullable)
	case reflect.Slice:
		return w.list(t, path)
	default:
		return w.scalar(t, path, nullable)
	}
}

func (w *walker) scalar(t reflect.Type, path string, nullable bool) error {
	var raw json.RawMessage
	if err := w.d.Decode(&raw); err != nil {
		return syntaxError(path, err)
	}
	if string(raw) == "null" {
		if nullable {
			return nil
		}
		return &Error{Kind: Mismatch, Path: path, Reason: "null is not allowed"}
	}
	err := json.Unmarshal(raw, reflect.New(t).Interface())
	var typeErr *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &typeErr):
		return &Error{Kind: Mismatch, Path: path, Reason: fmt.Sprintf("a %s does not fit the field", typeErr.Value), Cause: err}
	default:
		return &Error{Kind: Mismatch, Path: path, Reason: reasonOf(err), Cause: err}
	}
}

// reasonOf returns the message of an error that the value's own type returned.
func reasonOf(err error) string {
	if result.CodeOf(err) != result.Internal {
		return result.MessageOf(err)
	}
	return err.Error()
}

// openDelim reads the opening delimiter of an object or list. It returns false if the value is a null that is allowed.
func (w *walker) openDelim(delim json.Delim, path string, nullable bool) (bool, error) {
	token, err := w.d.Token()
	switch {
	case err != nil:
		return false, syntaxError(path, err)
	case token == delim:
		return true, nil
	case token == nil && nullable:
		return false, nil
	}
	return false, &Error{Kind: Mismatch, Path: path, Reason: fmt.Sprintf("the value must start with %q", delim.String())}
}

func (w *walker) object(t reflect.Type, path string, nullable bool) error {
	if ok, err := w.openDelim('{', path, nullable); !ok {
		return err
	}
	seen := make(map[string]bool)
	for w.d.More() {
		token, err := w.d.Token()
		if err != nil {
			return syntaxError(path, err)
		}
		key := token.(string) // the decoder returns only strings as keys
		fieldPath := join(path, key)
		if seen[key] {
			return &Error{Kind: Duplicate, Path: fieldPath, Reason: "the key stands twice"}
		}
		seen[key] = true
		fieldType, ok := memberType(t, key)
		if !ok {
			return &Error{Kind: UnknownField, Path: fieldPath, Reason: "unknown field"}
		}
		if err := w.value(fieldType, fieldPath); err != nil {
			return err
		}
	}
	return w.closeDelim(path)
}

func (w *walker) list(t reflect.Type, path string) error {
	if ok, err := w.openDelim('[', path, false); !ok {
		return err
	}
	for i := 0; w.d.More(); i++ {
		if err := w.value(t.Elem(), path+"["+strconv.Itoa(i)+"]"); err != nil {
			return err
		}
	}
	return w.closeDelim(path)
}

func (w *walker) closeDelim(path string) error {
	_, err := w.d.Token()
	return syntaxError(path, err)
}

// memberType returns the type of the values of a map, or of the field of a struct that has this JSON name.
func memberType(t reflect.Type, key string) (reflect.Type, bool) {
	if t.Kind() == reflect.Map {
		return t.Elem(), true
	}
	for i := range t.NumField() {
		f := t.Field(i)
		if name, _, _ := strings.Cut(f.Tag.Get("json"), ","); name == key && f.IsExported() {
			return f.Type, true
		}
	}
	return nil, false
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// syntaxError converts an error of the JSON decoder to an *Error, and nil to nil.
func syntaxError(path string, err error) error {
	if err == nil {
		return nil
	}
	var syntaxErr *json.SyntaxError
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return &Error{Kind: Syntax, Path: path, Reason: "the input ends early", Cause: err}
	case errors.As(err, &syntaxErr):
		return &Error{Kind: Syntax, Path: path, Reason: fmt.Sprintf("invalid JSON at byte %d: %v", syntaxErr.Offset, err), Cause: err}
	}
	return &Error{Kind: Syntax, Path: path, Reason: err.Error(), Cause: err}
}
