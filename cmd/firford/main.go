// Program firford is not built yet.
package main

func main() {}
