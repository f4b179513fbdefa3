package main

func playBlind(r *record, trouble bool) (bool, error) { return false, errUsage }
