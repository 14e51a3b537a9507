package record_test

import (
	"fmt"
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/record"
)

// arrived is a message of the example.
type arrived struct{ Request string }

func ExampleJournal() {
	j := record.NewJournal(record.NewRegistry(record.TypeOf[arrived]()), 1<<20)
	j.Add(time.Unix(0, 0).UTC(), arrived{"r"}, []ident.Cmd{})
	segment, err := record.NewSegment("boot-0", j.TakePending())
	if err != nil {
		panic(err)
	}
	entries, err := segment.Entries()
	fmt.Println(entries[0].Seq, entries[0].Msg.Type, string(entries[0].Msg.Body), err)
	// Output: 1 record_test.arrived {"Request":"r"} <nil>
}
