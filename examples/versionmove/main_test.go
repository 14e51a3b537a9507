package main

func Example() {
	main()
	// Output:
	// new version fails: false
	// step 1: moving, 2 % of new requests
	// step 2: moving, 4 % of new requests
	// step 3: moving, 8 % of new requests
	// step 4: moving, 16 % of new requests
	// step 5: moving, 32 % of new requests
	// step 6: moving, 50 % of new requests
	// step 7: watching, 90 % of new requests
	// step 8: complete, 100 % of new requests
	// new version fails: true
	// step 1: moving, 2 % of new requests
	// step 1: taken_back, 0 % of new requests
}
