// Package sample decides for the trainers that a host is home to: which
// samples run, which count, and what a trainer is given when it pulls. It has
// no I/O, no goroutines and no clock.
package sample
