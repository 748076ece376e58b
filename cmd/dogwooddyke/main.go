// Command dogwooddyke runs one instance.
package main

func main() {}
