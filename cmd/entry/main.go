// Program entry is not built yet.
package main

func main() {}
