package scripted

import (
	"fmt"
	"strings"
)

// Malformation is a change that makes a sound answer malformed by RFC 9110 or RFC 9112: the first
// Old in it is replaced by New.
type Malformation struct{ Name, Old, New string }

// In returns the answer with the change. ok is false if the answer has nothing to change.
func (m Malformation) In(answer string) (changed string, ok bool) {
	return strings.Replace(answer, m.Old, m.New, 1), strings.Contains(answer, m.Old)
}

// Of returns the answer with the change, which must be possible.
func (m Malformation) Of(answer string) string {
	changed, ok := m.In(answer)
	if !ok {
		panic(fmt.Sprintf("%s: %q has no %q", m.Name, answer, m.Old))
	}
	return changed
}

// statusLine is the start of the status line of a sound answer.
const statusLine = "HTTP/1.1 200"

// MalformedStatuses are changes of a status, which has to be in 100..599.
var MalformedStatuses = []Malformation{
	{"status 000", statusLine, "HTTP/1.1 000"},
	{"status 099", statusLine, "HTTP/1.1 099"},
	{"status 600", statusLine, "HTTP/1.1 600"},
	{"status 999", statusLine, "HTTP/1.1 999"},
	{"interim status 000", statusLine, "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200"},
	{"interim status 099", statusLine, "HTTP/1.1 099 X\r\n\r\nHTTP/1.1 200"},
	{"signed status", statusLine, "HTTP/1.1 +20"},
	{"status of four digits", statusLine, "HTTP/1.1 2000"},
}

// MalformedLines are changes of the lines of a head: field lines whose names are no tokens or whose
// values have control bytes, and line ends that are not CR LF.
var MalformedLines = []Malformation{
	withLine("blank in a name", "X Y: z"),
	withLine("blank behind a name", "X-Y : z"),
	withLine("tab behind a name", "X-Y\t: z"),
	withLine("blank before the first name", " X-Y: z"),
	withLine("blank before a name", "A: b\r\n X-Y: z"),
	withLine("tab before a name", "A: b\r\n\tX-Y: z"),
	withLine("blank behind a name of framing", "Content-Length : 4"),
	withLine("LF before the first name", "\nX-Y: z"),
	withLine("LF before a name", "A: b\r\n\nX-Y: z"),
	{"LF before the last name", headEnd, "\r\n\nX-Y: z\r\n\r\n"},
	withLine("LF in a name", "X\nY: z"),
	withLine("CR before a name", "A: b\r\n\rX-Y: z"),
	withLine("CR in a name", "X\rY: z"),
	withLine("NUL before a name", "\x00X-Y: z"),
	withLine("NUL in a name", "X\x00Y: z"),
	withLine("US in a name", "X\x1fY: z"),
	withLine("DEL in a name", "X\x7fY: z"),
	withLine("byte above 127 in a name", "X\x80Y: z"),
	withLine("delimiter in a name", "X(Y: z"),
	withLine("no name", ": z"),
	withLine("no colon", "X-Y"),
	withLine("NUL in a value", "X-Y: a\x00b"),
	withLine("CR in a value", "X-Y: a\rb"),
	withLine("DEL in a value", "X-Y: a\x7fb"),
	withLine("line that ends with LF", "X-Y: z\nA: b"),
	withLine("line that ends with CR CR LF", "X-Y: z\r"),
	{"status line that ends with LF", lineEnd, "\n"},
	{"control byte in the reason", lineEnd, "\x01\r\n"},
	{"empty line before the status line", statusLine, "\r\nHTTP/1.1 200"},
}

// MalformedFraming are changes after which the length of the answer is in doubt: versions of HTTP
// that are framed differently, a transfer coding where there is none, and bodies of answers that
// have none.
var MalformedFraming = []Malformation{
	{"version 2", statusLine, "HTTP/2.0 200"},
	{"version 0.9", statusLine, "HTTP/0.9 200"},
	{"version in lower case", statusLine, "http/1.1 200"},
	{"transfer coding in version 1.0", statusLine, "HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\nX-Y:"},
	{"transfer coding in version 1.2", statusLine, "HTTP/1.2 200 X\r\nTransfer-Encoding: chunked\r\nX-Y:"},
	{"second length, or one beside a transfer coding", statusLine, "HTTP/1.1 200 X\r\nContent-Length: 4\r\nX-Y:"},
	{"interim answer of version 2", statusLine, "HTTP/2.0 103 X\r\n\r\nHTTP/1.1 200"},
	{"interim answer with a length", statusLine, "HTTP/1.1 103 X\r\nContent-Length: 4\r\n\r\nHTTP/1.1 200"},
	{"interim answer with a transfer coding", statusLine, "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200"},
	{"body of an answer without content", statusLine, "HTTP/1.1 204"},
}

// MalformedTrailers are changes of the trailer section of an answer with a chunked body.
var MalformedTrailers = []Malformation{
	withTrailer("blank in a trailer's name", "X Y: z"),
	withTrailer("blank behind a trailer's name", "X-Y : z"),
	withTrailer("blank before a trailer's name", "A: b\r\n X-Y: z"),
	withTrailer("LF before the first trailer's name", "\nX-Y: z"),
	withTrailer("LF before a trailer's name", "A: b\r\n\nX-Y: z"),
	withTrailer("NUL in a trailer's name", "X\x00Y: z"),
	withTrailer("CR in a trailer's value", "X-Y: a\rb"),
	withTrailer("trailer line that ends with LF", "X-Y: z\nA: b"),
	{"trailer section that ends with LF", lastChunk, "0\r\n\n"},
}

// ForbiddenTrailer puts a field into the trailer section that may not be there.
var ForbiddenTrailer = withTrailer("length in a trailer section", "Content-Length: 4")

// lastChunk is the end of a chunked body without a trailer section.
const lastChunk = "0\r\n\r\n"

// withTrailer is a Malformation that puts a line into the trailer section.
func withTrailer(name, line string) Malformation {
	return Malformation{Name: name, Old: lastChunk, New: "0\r\n" + line + "\r\n\r\n"}
}

// The first line end in an answer is that of its status line, and the first headEnd the end of its
// head.
const (
	lineEnd = "\r\n"
	headEnd = "\r\n\r\n"
)

// withLine is a Malformation that puts a line behind the status line.
func withLine(name, line string) Malformation {
	return Malformation{Name: name, Old: lineEnd, New: lineEnd + line + lineEnd}
}
