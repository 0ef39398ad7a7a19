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

// shardsCommand returns the command that prints which machine owns which shard of tenants, for all
// shards or for the shard of one tenant.
func shardsCommand() *cobra.Command {
	var tenant string
	c := routerStatusCommand("shards", "Print which machine counts the limits of which shard of tenants", func(w io.Writer, answers []routerAnswer) {
		printShards(w, answers, tenant)
	})
	c.Flags().StringVar(&tenant, "tenant", "", "print only the shard of the tenant with this `name`")
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

// groupShards groups shards by owner and token. The groups are in the order of their first shards. If
// a tenant is given, the result contains only that tenant's shard.
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

// shardNumbers formats the numbers of shards, which are in ascending order, and writes a run of
// consecutive numbers as first-last.
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
