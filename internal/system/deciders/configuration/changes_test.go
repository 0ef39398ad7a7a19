package configuration

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Changes returns the names of the items that were added, changed or removed.
func TestChangesNameItems(t *testing.T) {
	parse := func(text string) *Document {
		t.Helper()
		text = strings.ReplaceAll(text, `"path":`, `"host":"h","kind":"safe","timeoutMs":1,"service":"s","pathPrefix":`)
		d, err := Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	old := parse(`{"version":1,"routes":[{"name":"a","path":"/a/"},{"name":"b","path":"/b/"},{"name":"c","path":"/c/"}],"services":[{"name":"s"}],"limits":{"maxBodyBytes":1}}`)
	for _, c := range []struct {
		name          string
		before, after *Document
		want          []ListChange
	}{
		{"no change", old, old, nil},
		{"reordered items", old, parse(`{"version":2,"routes":[{"name":"c","path":"/c/"},{"name":"a","path":"/a/"},{"name":"b","path":"/b/"}],"services":[{"name":"s"}],"limits":{"maxBodyBytes":1}}`), nil},
		{"items", old, parse(`{"version":2,"routes":[{"name":"a","path":"/a/"},{"name":"b","path":"/b/","priority":1},{"name":"d","path":"/d/"}],"services":[{"name":"s"}],"limits":{"maxBodyBytes":2}}`),
			[]ListChange{{List: "routes", Added: []string{"d"}, Changed: []string{"b"}, Removed: []string{"c"}}, {List: "limits", Changed: []string{"limits"}}}},
		{"removed list", old, parse(`{"version":2,"routes":[{"name":"a","path":"/a/"},{"name":"b","path":"/b/"},{"name":"c","path":"/c/"}],"limits":{"maxBodyBytes":1}}`),
			[]ListChange{{List: "services", Removed: []string{"s"}}}},
		{"first document", nil, parse(`{"version":1,"services":[{"name":"s"}]}`), []ListChange{{List: "services", Added: []string{"s"}}}},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(Changes(c.before, c.after), c.want) })
	}
}
