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

// shardsCommand asks which machines own the shards of tenants: all, or that of one tenant.
func shardsCommand() *cobra.Command {
	var tenant string
	c := routerStatusCommand("shards", "Ask a router of the fleet which machine counts which tenants' limits", func(w io.Writer, answers []routerAnswer) {
		printShards(w, answers, tenant)
	})
	c.Flags().StringVar(&tenant, "tenant", "", "print only the shard of this tenant's `name`")
	return c
}

func printShards(w io.Writer, answers []routerAnswer, tenant string) {
	forEachStatus(answers, func(a routerAnswer, s *status.Router) {
		fmt.Fprintf(w, "%s at %s: view %d\n", s.Name, a.At, s.Register.Epoch)
		writeTable(w, "owner|identity|token|shards", func(row func(...any)) {
			for _, group := range groupShards(s.Register.Shards, tenant) {
				row(group[0].Address, group[0].Owner, group[0].Token, shardNumbers(group))
			}
		})
	})
}

// groupShards groups shards by owner and token, in the order of their first shards. With a tenant
// only its shard is left.
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

// shardNumbers are the numbers of shards in rising order; those in a row are first-last.
func shardNumbers(shards []status.Shard) string {
	var runs []string
	for i := 0; i < len(shards); {
		j := i
		for j+1 < len(shards) && shards[j+1].Number == shards[j].Number+1 {
			j++
		}
		run := strconv.Itoa(shards[i].Number)
		if j > i {
			run += "-" + strconv.Itoa(shards[j].Number)
		}
		runs = append(runs, run)
		i = j + 1
	}
	return strings.Join(runs, ",")
}
