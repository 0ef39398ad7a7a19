package settings

// Recovery is the content of the block "recovery": a router saves its state and restores it after a
// restart.
type Recovery struct {
	Folder    string // where the router saves its state
	Discovery string // name of the discovery service whose host list is saved, the same on all routers; if empty, the discovery agent's address serves as the name
}
