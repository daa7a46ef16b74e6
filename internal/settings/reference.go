package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// The units of settings whose field bears no unit tag.
const (
	unitText = "text"
	unitList = "list of texts"
	unitBool = "true or false"
)

// Entry is one setting as the reference lists it.
type Entry struct {
	// Field is the dotted name.
	Field string
	// Unit is the unit or type.
	Unit string
	// Default is the default as it would be written in TOML.
	Default string
}

// Reference lists every setting in the order of the structs.
func Reference() []Entry {
	return reference("", reflect.ValueOf(*Default()))
}

func reference(prefix string, table reflect.Value) []Entry {
	var entries []Entry
	for i := range table.NumField() {
		field, value := table.Type().Field(i), table.Field(i)
		name := prefix + field.Tag.Get("toml")
		if _, span := value.Interface().(Duration); value.Kind() == reflect.Struct && !span {
			entries = append(entries, reference(name+".", value)...)
			continue
		}
		entries = append(entries, Entry{Field: name, Unit: unitOf(field), Default: literal(value)})
	}
	return entries
}

func unitOf(field reflect.StructField) string {
	if unit := field.Tag.Get("unit"); unit != "" {
		return unit
	}
	switch field.Type.Kind() {
	case reflect.Bool:
		return unitBool
	case reflect.Slice:
		return unitList
	default:
		return unitText
	}
}

func literal(value reflect.Value) string {
	switch v := value.Interface().(type) {
	case Duration:
		return fmt.Sprintf("%q", shortSpan(v))
	case string:
		return fmt.Sprintf("%q", v)
	case []string:
		return "[]"
	default:
		return fmt.Sprint(v)
	}
}

// shortSpan drops the zero seconds and minutes that Duration prints: "15m0s".
func shortSpan(d Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
