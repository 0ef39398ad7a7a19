package localfleet

import (
	"errors"
	"os"
	"path/filepath"
	"text/template"
)

// settingsText is the template of a router's settings file. Its data is a process.
var settingsText = template.Must(template.New("settings").Parse(`nodeName = "{{.Name}}"
role = "router"
machineClass = "frontend"
serves = ["frontend", "control_plane"]
ipAddress = "{{.IP}}"
zone = "z{{.Zone}}"
region = "r"
internalPortRange = [{{.Ports.Internal}}, {{.Ports.Internal}}]
seedNodes = [{{range $i, $s := .SeedNodes}}{{if $i}}, {{end}}"{{$s}}"{{end}}]
firstStart = {{.FirstStart}}
countsForQuorum = {{.Eligible}}
dataDirectory = "{{.DataDirectory}}"
discovery = "registration"
heartbeatIntervalMs = {{.HeartbeatMs}}

[zones]
z0 = "r"
z1 = "r"
z2 = "r"

[listenAddresses]
frontend = "{{.IP}}:{{.Ports.Front}}"
readiness = "{{.IP}}:{{.Ports.Ready}}"
controlPlane = "{{.IP}}:{{.Ports.Control}}"

[limits]
cpuShare = 1.0
cpuCores = 1
memoryMb = 128
fileDescriptors = 2000
linkMbps = 1000.0

[faultTolerance]
machines = 1

[bounds]
graceS = {{.GraceS}}
configurationApplyMs = 2000
revocationClosed = true
revocationMs = {{.RevocationMs}}
retryBudgetRatio = 1.0
retryWindowS = 10
retryBudgetSlack = 64
quotaWindowS = 8
quotaOvershoot = 0.1
`))

// settingsPath returns the path of a router's settings file.
func (f *Fleet) settingsPath(p *process) string {
	return filepath.Join(f.options.Folder, p.Name+".toml")
}

// writeSettings writes a router's settings file.
func (f *Fleet) writeSettings(p *process) error {
	file, err := os.Create(f.settingsPath(p))
	if err != nil {
		return err
	}
	return errors.Join(settingsText.Execute(file, p), file.Close())
}
