package configcheck

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"unicode"

	"amaranthstile/ticket"
)

// compare reports what differs from the configuration in force.
func (c *checker) compare(before Input) {
	if c.in.Version <= before.Version {
		c.add(VersionNotNewer, "version", "%08x is not higher than %08x, which is in force", c.in.Version, before.Version)
	}
	if c.in.Version != before.Version {
		c.add(VersionDiffers, "version", "%08x replaces %08x", c.in.Version, before.Version)
	}
	compareEntries(c, "route", before.Routes, c.in.Routes, "MaxBodyBytes") // part of the limits
	compareEntries(c, "service", before.Services, c.in.Services)
	compareEntries(c, "account", before.Accounts, c.in.Accounts)
	changes := changedFields(reflect.ValueOf(before.Limits), reflect.ValueOf(c.in.Limits), nil)
	if before.MaxBodyBytes != c.in.MaxBodyBytes {
		changes = append(changes, fmt.Sprintf("max body bytes: %d, now %d", before.MaxBodyBytes, c.in.MaxBodyBytes))
	}
	if len(changes) > 0 {
		c.add(LimitsChanged, "limits", "%s", strings.Join(changes, "; "))
	}
}

// compareEntries reports the entries of one sort that were added, removed or changed. It does not compare the fields in except.
func compareEntries[T any](c *checker, sort string, before, after map[string]T, except ...string) {
	for _, name := range sortedNames(before) {
		if _, ok := after[name]; !ok {
			c.add(EntryRemoved, subjectOf(sort, name), "it is in force and would be removed")
		}
	}
	for _, name := range sortedNames(after) {
		old, ok := before[name]
		if !ok {
			c.add(EntryAdded, subjectOf(sort, name), "it is not in force yet")
			continue
		}
		a, b := reflect.Indirect(reflect.ValueOf(old)), reflect.Indirect(reflect.ValueOf(after[name]))
		if changes := changedFields(a, b, except); len(changes) > 0 {
			c.add(EntryChanged, subjectOf(sort, name), "%s", strings.Join(changes, "; "))
		}
	}
}

// changedFields describes the fields of two structs of the same type that differ.
func changedFields(before, after reflect.Value, except []string) []string {
	var out []string
	for i := range before.NumField() {
		name := before.Type().Field(i).Name
		a, b := before.Field(i), after.Field(i)
		if slices.Contains(except, name) || reflect.DeepEqual(a.Interface(), b.Interface()) {
			continue
		}
		if keys, ok := a.Interface().([]ticket.Hash); ok {
			out = append(out, describeKeys(keys, b.Interface().([]ticket.Hash)))
			continue
		}
		out = append(out, fmt.Sprintf("%s: %s, now %s", wordsOf(name), valueText(a), valueText(b)))
	}
	return out
}

// describeKeys tells how many API keys were added and removed, without showing any.
func describeKeys(before, after []ticket.Hash) string {
	return fmt.Sprintf("API keys: %d added, %d removed", countMissing(after, before), countMissing(before, after))
}

// countMissing returns how many keys of a are not in b.
func countMissing(a, b []ticket.Hash) (n int) {
	in := make(map[ticket.Hash]bool, len(b))
	for _, k := range b {
		in[k] = true
	}
	for _, k := range a {
		if !in[k] {
			n++
		}
	}
	return n
}

// valueText returns a field's value as text.
func valueText(v reflect.Value) string {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "none"
		}
		v = v.Elem()
	}
	if v.Kind() == reflect.String {
		return fmt.Sprintf("%q", v.String())
	}
	return fmt.Sprint(v.Interface())
}

// wordsOf returns the name of a field as lower-case words.
func wordsOf(name string) string {
	var out strings.Builder
	for i, r := range name {
		if i > 0 && unicode.IsUpper(r) {
			out.WriteByte(' ')
		}
		out.WriteRune(unicode.ToLower(r))
	}
	return out.String()
}
