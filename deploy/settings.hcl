# The operators' settings: reachspread serve --settings deploy/settings.hcl
# Without this file nothing in it is on, and the line run of balancer.toml does not name it.
# Every field, with its unit, default and effect: docs/operators/settings.md and docs/operators/shadow.md.

log {
  format = "text" # or "json"
}

# A folder for the Unix socket that `reachspread shadow status` asks.
status {
  folder = "/tmp/reachspread"
}

# Who gets in when places are short: docs/operators/admission.md.
door {
  identity_header = "X-Client"
  identities      = ["order-tool"]
  reserve         = 0.25 # of the places

  patience {
    critical = "100ms" # a silent client's, when places are all but gone
  }
}

shadow {
  records {
    folder     = "/tmp/reachspread/records"
    file_bytes = "1MiB" # memory, where the folder is in memory
    files      = 4
  }

  pool "next-model" {
    share             = 0.05 # of conversations
    classes           = ["field-fill", "desk-chat"]
    copies_per_second = 2
    copies_out        = 4

    host "candidate-1" {
      addr = "127.0.0.1:9001"
    }
  }
}
