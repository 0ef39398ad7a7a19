package recovery

import "strings"

// SavedItem is a row of the table of saved items on the operators' page.
type SavedItem struct {
	Name, Trusted, Verified, Asked, Otherwise string
	Used                                      string // whether the program uses the item or only shows it
}

// SavedItems lists the items that a router saves and how its next process uses each.
var SavedItems = []SavedItem{
	{"list", "naming hosts until discovery speaks; each counts as just started", "discovery, under whatever version", "peers, for the version of theirs", "a younger one at a peer under the same discovery, which does not say what hosts it has: 8 s more are waited; nobody answers: it is used", "yes"},
	{"hosts that drain or are gone", "for as long as the list", "discovery", "peers with a list of the same discovery that is not older, while discovery is silent", "one that says so is believed: they get nothing; nobody answers: as the list has it", "yes"},
	{"own incarnation", "as a lower bound", "the fleet view, which refutes what is higher", "the fleet view", "one above it is taken", "yes"},
	{"being drained", "until `drain-off`", "operators", "nobody", "a drained router stays so", "yes"},
	{"members of the view", "as addresses to ask", "their answers", "all of them", "who does not answer is no member", "yes"},
	{"largest token", "as a lower bound", "the voters", "the voters", "the highest counts", "shown"},
	{"settings in force", "for nothing: the files are read anew", "their digest", "nobody", "said on the log", "shown"},
	{"what a warm host does, a request's mean work, how long answers of a class take", "as the measure for hosts that are cold, until some are warm", "what hosts show once they are", "peers, by a router that has none", "the middle one counts; without any nothing goes to cold hosts while all are", "yes"},
	{"work asked for on a usual day, by class", "as the measure for who is admitted while hosts are cold", "what is asked for", "nobody", "all classes are taken to be alike", "yes"},
	{"how fast machines of a kind read", "until prompts were read", "first tokens", "nobody", "a usual speed is taken", "yes"},
	{"learned of each host: caps, slowness", "for a host that has not started since", "the list, by `id` and `started_ms`", "nobody", "forgotten", "yes"},
	{"requests taken and not answered", "for nothing: none is sent again", "", "nobody", "counted on the log: their clients ask again", "shown"},
}

// Table returns the saved items and the stages as Markdown tables.
func Table() string {
	var b strings.Builder
	b.WriteString("| item | trusted for | verified by | who is asked | if answers differ, or nobody answers | used |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, x := range SavedItems {
		b.WriteString("| " + strings.Join([]string{x.Name, x.Trusted, x.Verified, x.Asked, x.Otherwise, x.Used}, " | ") + " |\n")
	}
	b.WriteString("\n| stage | ends when | bound | when that passes |\n| --- | --- | --- | --- |\n")
	for _, s := range Stages {
		b.WriteString("| `" + strings.Join([]string{s.Name + "`", s.Ends, s.Bound, s.Past}, " | ") + " |\n")
	}
	return b.String()
}
