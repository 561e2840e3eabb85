// Program fakeplatform is not built yet.
package main

func main() {}
