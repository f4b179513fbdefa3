package responder

// InvalidHeads returns heads of responses that no client may accept, by what is wrong. The empty line at their end
// is left out, so that fields can be added.
func InvalidHeads() map[string]string {
	return map[string]string{
		"status 000":               "HTTP/1.1 000 Trouble\r\n",
		"status 099":               "HTTP/1.1 099 Trouble\r\n",
		"status 600":               "HTTP/1.1 600 Trouble\r\n",
		"status 999":               "HTTP/1.1 999 Trouble\r\n",
		"status 000 after interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Trouble\r\n",
		"empty name":               "HTTP/1.1 200 OK\r\n: x\r\n",
		"blank in a name":          "HTTP/1.1 200 OK\r\nBad Name: x\r\n",
		"blank before the colon":   "HTTP/1.1 200 OK\r\nGood : x\r\n",
		"name folded":              "HTTP/1.1 200 OK\r\nA: x\r\nGood\r\n : x\r\n",
		"tab in a name":            "HTTP/1.1 200 OK\r\nBad\tName: x\r\n",
		"tab before the colon":     "HTTP/1.1 200 OK\r\nGood\t: x\r\n",
		"byte 00 in a name":        "HTTP/1.1 200 OK\r\nBad\x00Name: x\r\n",
		"byte 01 in a name":        "HTTP/1.1 200 OK\r\nBad\x01Name: x\r\n",
		"byte 7f in a name":        "HTTP/1.1 200 OK\r\nBad\x7fName: x\r\n",
	}
}

// UnusualHeads returns heads of final responses with status 200 that each client accepts, by what is unusual. The
// empty line at their end is left out.
func UnusualHeads() map[string]string {
	return map[string]string{
		"no reason":                "HTTP/1.1 200\r\n",
		"an interim response":      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
		"several interim ones":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n",
		"unknown interim response": "HTTP/1.1 199 Unknown\r\nA: x\r\n\r\nHTTP/1.1 200 OK\r\n",
		"folded lines":             "HTTP/1.1 200 OK\r\nA: x\r\n y: z\r\n\tw\r\n",
		"all token characters":     "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: x\r\n",
		"empty values":             "HTTP/1.1 200 OK\r\nA:\r\nB: \r\n",
	}
}
