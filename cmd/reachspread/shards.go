package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"reachspread/coord/view"
	"reachspread/internal/system/status"
)

// shardsCommand asks who owns the duties of the fleet's control plane: all shards, or that of one tenant.
func shardsCommand() *cobra.Command {
	var tenant string
	c := routerStatusCommand("shards", "Ask a router of the fleet which machine counts which tenants' limits", func(w io.Writer, answers []told) {
		printShards(w, answers, tenant)
	})
	c.Flags().StringVar(&tenant, "tenant", "", "print only the shard of this tenant's `name`")
	return c
}

func printShards(w io.Writer, answers []told, tenant string) {
	eachStatus(answers, func(a told, s *status.Router) {
		fmt.Fprintf(w, "%s at %s: view %d\n", s.Name, a.At, s.Register.Epoch)
		table(w, "owner|identity|token|shards", func(row func(...any)) {
			for _, group := range groupShards(s.Register.Shards, tenant) {
				row(group[0].Address, group[0].Owner, group[0].Token, shardNumbers(group))
			}
		})
	})
}

// groupShards are the shards by owner and token, each group where its first shard is; with a tenant its shard alone.
func groupShards(all []status.Shard, tenant string) (groups [][]status.Shard) {
	type key struct {
		owner string
		token uint64
	}
	at := map[key]int{}
	for _, shard := range all {
		if tenant != "" && shard.Number != view.ShardOf(tenant) {
			continue
		}
		k := key{shard.Owner, shard.Token}
		i, known := at[k]
		if !known {
			i = len(groups)
			at[k], groups = i, append(groups, nil)
		}
		groups[i] = append(groups[i], shard)
	}
	return groups
}

// shardNumbers are the numbers of shards in rising order, runs of them as first-last.
func shardNumbers(shards []status.Shard) string {
	var parts []string
	for i := 0; i < len(shards); {
		j := i
		for j+1 < len(shards) && shards[j+1].Number == shards[j].Number+1 {
			j++
		}
		part := strconv.Itoa(shards[i].Number)
		if j > i {
			part += "-" + strconv.Itoa(shards[j].Number)
		}
		parts = append(parts, part)
		i = j + 1
	}
	return strings.Join(parts, ",")
}
