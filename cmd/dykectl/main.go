// Command dykectl is the command of operators and experimenters.
package main

func main() {}
