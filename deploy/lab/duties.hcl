# Routers with duties: `reachlab rig FILE --seed N --plays M` draws schedules for them. docs/operators/rig.md has the fields.
seeds  = 1
length = "12s"
routers = 5
group "a" {
  hosts = 2
  zone  = "east"
}
group "b" {
  hosts = 2
  zone  = "west"
}
class "chat" {
  aim        = "1s"
  deadline   = "4s"
  rate       = 20
  turns      = 3
  think      = "500ms"
  out_median = 10
}
rig {
  settle = "2s"
  view   = true
  voters = 3
}
