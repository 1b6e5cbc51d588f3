package capacity

var needed = []string{}
