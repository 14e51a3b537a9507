package main

func Example() {
	main()
	// Output:
	// 6 requests run on an upstream that bears 6
}
