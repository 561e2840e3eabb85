// Program fakeengine is not built yet.
package main

func main() {}
