package conf_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/core/conf"
)

func ExampleSet_Match() {
	set := conf.NewSet(conf.Data{Routes: []conf.Route{
		{Name: "all", Host: "a.example", Prefix: "/"}, {Name: "some", Host: "a.example", Prefix: "/x/"},
	}})
	long, _ := set.Match("A.example:80", "/x/y")
	short, _ := set.Match("a.example", "/xy")
	_, other := set.Match("b.example", "/x/y")
	fmt.Println(long.Name, short.Name, other)
	// Output: some all false
}

func TestPickFollowsWeights(t *testing.T) {
	r := conf.Route{Shares: []conf.Share{{Service: "a", Weight: 90}, {Service: "none"}, {Service: "b", Weight: 10}}}
	got := map[string]int{}
	for i := range 1000 {
		got[string(r.Pick((float64(i)+0.5)/1000))]++
	}
	if diff := cmp.Diff(map[string]int{"a": 900, "b": 100}, got); diff != "" {
		t.Errorf("picks (-want +got):\n%s", diff)
	}
}
