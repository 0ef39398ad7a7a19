package settings

// Recovery is the block of that name, nil for none: a router keeps what it knows for its next life.
type Recovery struct {
	Folder    string
	Discovery string // the name of whose list it is, the same at all routers; empty for the address of their agents
}
