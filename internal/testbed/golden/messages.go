package golden

import (
	"fmt"
	"math"
	"path"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/dynamicpb"
)

// CheckMessages compares all messages of protobuf files with golden data: the numbers, kinds and
// cardinality of their fields, and the bytes of examples in which every field is set. It identifies
// messages by position and fields by number, so that messages and fields may be renamed.
func CheckMessages(t *testing.T, file string, descriptors ...protoreflect.FileDescriptor) {
	t.Helper()
	var fields strings.Builder
	var examples []Record
	for _, d := range descriptors {
		describe(&fields, d.Messages(), d.Enums())
		for i := range d.Messages().Len() {
			examples = append(examples, exampleRecords(t, d.Messages().Get(i))...)
		}
	}
	CheckText(t, file+".fields", fields.String())
	golden := Check(t, file+".examples", examples)
	for _, r := range examples {
		checkDecoding(t, descriptors, r.Name, golden[r.Name])
	}
}

// position identifies a descriptor by the name of its file and its index in the file. For a nested
// descriptor, the index of each enclosing message comes first.
func position(d protoreflect.Descriptor) string {
	if f, ok := d.(protoreflect.FileDescriptor); ok {
		return path.Base(f.Path())
	}
	return fmt.Sprintf("%s/%d", position(d.Parent()), d.Index())
}

func describe(out *strings.Builder, messages protoreflect.MessageDescriptors, enums protoreflect.EnumDescriptors) {
	for i := range enums.Len() {
		e := enums.Get(i)
		fmt.Fprintf(out, "enum %s:", position(e))
		for j := range e.Values().Len() {
			fmt.Fprintf(out, " %d", e.Values().Get(j).Number())
		}
		out.WriteString("\n")
	}
	for i := range messages.Len() {
		m := messages.Get(i)
		fmt.Fprintf(out, "message %s\n", position(m))
		for j := range m.Fields().Len() {
			describeField(out, m.Fields().Get(j))
		}
		describe(out, m.Messages(), m.Enums())
	}
}

func describeField(out *strings.Builder, f protoreflect.FieldDescriptor) {
	fmt.Fprintf(out, "  %d %s %s", f.Number(), f.Kind(), f.Cardinality())
	if f.IsPacked() {
		out.WriteString(" packed")
	}
	if f.IsMap() {
		out.WriteString(" map")
	}
	if f.HasOptionalKeyword() {
		out.WriteString(" presence")
	} else if f.ContainingOneof() != nil {
		fmt.Fprintf(out, " oneof %d", f.ContainingOneof().Index())
	}
	if f.Message() != nil {
		out.WriteString(" " + position(f.Message()))
	}
	if f.Enum() != nil {
		out.WriteString(" " + position(f.Enum()))
	}
	out.WriteString("\n")
}

// exampleRecords returns encoded examples of a message. In the first example, every field is set
// except that each oneof has its first field. There is one more example for each further field of
// the largest oneof.
func exampleRecords(t *testing.T, d protoreflect.MessageDescriptor) (all []Record) {
	for _, choice := range choices(d) {
		m := exampleOf(d, choice)
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, Record{fmt.Sprintf("%s:%d", position(d), choice), data})
	}
	return all
}

func choices(d protoreflect.MessageDescriptor) []int {
	most := 1
	for i := range d.Oneofs().Len() {
		most = max(most, d.Oneofs().Get(i).Fields().Len())
	}
	all := make([]int, most)
	for i := range all {
		all[i] = i
	}
	return all
}

func exampleOf(d protoreflect.MessageDescriptor, choice int) *dynamicpb.Message {
	m := dynamicpb.NewMessage(d)
	filler := filler{}
	filler.fill(m, choice, 0)
	return m
}

// maxDepth is the depth of nesting at which filler leaves fields of message types unset.
const maxDepth = 4

// filler sets each field to a different value. The values are the same on each run.
type filler struct{ last uint64 }

func (x *filler) fill(m protoreflect.Message, choice, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if o := f.ContainingOneof(); o != nil && o.Fields().Get(min(choice, o.Fields().Len()-1)) != f {
			continue
		}
		if f.Message() != nil && !f.IsMap() && depth >= maxDepth {
			continue
		}
		switch {
		case f.IsMap():
			k := x.scalar(f.MapKey()).MapKey()
			v := m.Mutable(f).Map().NewValue()
			if f.MapValue().Message() != nil {
				x.fill(v.Message(), 0, depth+1)
			} else {
				v = x.scalar(f.MapValue())
			}
			m.Mutable(f).Map().Set(k, v)
		case f.IsList():
			for range 2 {
				v := m.Mutable(f).List().NewElement()
				if f.Message() != nil {
					x.fill(v.Message(), 0, depth+1)
				} else {
					v = x.scalar(f)
				}
				m.Mutable(f).List().Append(v)
			}
		case f.Message() != nil:
			x.fill(m.Mutable(f).Message(), 0, depth+1)
		default:
			m.Set(f, x.scalar(f))
		}
	}
}

func (x *filler) scalar(f protoreflect.FieldDescriptor) protoreflect.Value {
	x.last++
	n := x.last*0x9e3779b97f4a7c15 | 1
	switch f.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(f.Enum().Values().Get(f.Enum().Values().Len() - 1).Number())
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(n))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(n))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return protoreflect.ValueOfInt64(int64(n))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(n)
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(n) / math.MaxUint32)
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(n) / math.MaxUint32)
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes(fmt.Appendf(nil, "\x00\xff%d", x.last))
	}
	return protoreflect.ValueOfString(fmt.Sprint("text ", x.last))
}

// checkDecoding decodes golden bytes with the generated type of the message and compares the result
// with the example.
func checkDecoding(t *testing.T, files []protoreflect.FileDescriptor, name string, data []byte) {
	t.Helper()
	for _, file := range files {
		for i := range file.Messages().Len() {
			d := file.Messages().Get(i)
			for _, choice := range choices(d) {
				if fmt.Sprintf("%s:%d", position(d), choice) == name {
					compareDecoded(t, name, data, exampleOf(d, choice))
				}
			}
		}
	}
}

func compareDecoded(t *testing.T, name string, data []byte, want proto.Message) {
	t.Helper()
	got, err := typed(want.ProtoReflect().Descriptor().FullName())
	if err != nil {
		t.Fatal(err)
	}
	if err := proto.Unmarshal(data, got); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	again, err := proto.MarshalOptions{Deterministic: true}.Marshal(got)
	if err != nil || len(got.ProtoReflect().GetUnknown()) > 0 || string(again) != string(data) || !proto.Equal(got, want) {
		t.Errorf("%s is decoded as %v, want %v; error %v", name, got, want, err)
	}
}

// typed returns an empty message of the generated type with this name.
func typed(name protoreflect.FullName) (proto.Message, error) {
	kind, err := protoregistry.GlobalTypes.FindMessageByName(name)
	if err != nil {
		return nil, err
	}
	return kind.New().Interface(), nil
}
